//! Which table group is found in a statement.

use super::table_group;

#[test]
fn the_number_of_a_schema_after_a_table_keyword_is_the_group() {
    assert_eq!(table_group(b"SELECT a FROM sales_12.orders"), Some(12));
    assert_eq!(table_group(b"insert INTO \"sales_7\".orders values (1)"), Some(7));
    assert_eq!(table_group(b"select 1"), None);
}

#[test]
fn a_schema_after_a_keyword_takes_precedence_over_an_earlier_one() {
    assert_eq!(table_group(b"SELECT other_3.total FROM sales_12.orders"), Some(12));
    assert_eq!(table_group(b"SELECT other_3.total, more_4.total"), Some(3));
}

#[test]
fn strings_and_comments_name_no_group() {
    let statements: [&[u8]; 6] = [
        b"SELECT ' FROM sales_1.orders '",
        b"SELECT E'\\' FROM sales_1.orders '",
        b"SELECT $tag$ FROM sales_1.orders $tag$",
        b"SELECT 1 -- FROM sales_1.orders\n",
        b"SELECT /* /* nested */ FROM sales_1.orders */ 1",
        b"SELECT 'unterminated FROM sales_1.orders",
    ];
    for statement in statements {
        assert_eq!(table_group(statement), None, "{}", String::from_utf8_lossy(statement));
    }
}

#[test]
fn staging_and_schemas_without_a_number_name_no_group() {
    for statement in [
        "FROM staging_4.orders",
        "FROM Staging_4.orders",
        "FROM sales.orders",
        "FROM sales_x.o",
        "FROM sales_.o",
    ] {
        assert_eq!(table_group(statement.as_bytes()), None, "{statement}");
    }
}
