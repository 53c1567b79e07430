//! Parsing of request fields, and each error by which malformed fields are rejected.

use super::{RequestFieldError, RequestFields, parse};

const ID: &str = "0123456789abcdef";

fn error_of(query: &str) -> String {
    parse(query.as_bytes()).expect_err(query).to_string()
}

#[test]
fn fields_and_statement_are_slices_of_the_query() {
    let query = format!(" /* method=report, rid={ID},budget=250.5,acct=a,est=3,space=4,later=x */ SELECT 1 ");
    let (fields, statement) = parse(query.as_bytes()).unwrap();
    let expected =
        RequestFields { method: "report", rid: ID, budget: 250.5, acct: Some("a"), est: 3.0, space: 4.0 };
    assert_eq!(fields, expected);
    assert_eq!(statement, b"SELECT 1 ");
}

#[test]
fn each_malformed_query_is_rejected_with_its_error_text() {
    let missing_comment = "a comment with the fields must stand ahead of the statement";
    assert_eq!(error_of("SELECT 1"), missing_comment);
    assert_eq!(error_of("/* rid=1"), "the comment with the fields does not end");
    assert_eq!(error_of("/*rid*/ SELECT 1"), "'rid' is no name=value pair");
    assert_eq!(error_of("/*rid=12*/ SELECT 1"), "field 'rid' is '12', not 16 hex digits");
    assert_eq!(
        error_of("/*rid=0123456789abcdeg*/ SELECT 1"),
        "field 'rid' is '0123456789abcdeg', not 16 hex digits"
    );
    assert_eq!(error_of(&format!("/*rid={ID}*/ SELECT 1")), "field 'budget' must be a time above 0");
    assert_eq!(error_of(&format!("/*rid={ID},budget=10*/ ")), "the statement is empty");
}

#[test]
fn numbers_out_of_range_are_rejected() {
    for field in ["budget", "est", "space"] {
        for value in ["x", "-1", "NaN", "inf", "1e10", ""] {
            let error = error_of(&format!("/*rid={ID},budget=1,{field}={value}*/ SELECT 1"));
            assert_eq!(error, format!("field '{field}' is '{value}', not a number from 0 to 1000000000"));
        }
    }
    for budget in ["0", "-0", "3600000.1"] {
        let error = error_of(&format!("/*rid={ID},budget={budget}*/ SELECT 1"));
        assert_eq!(error, "field 'budget' must be a time above 0");
    }
}

#[test]
fn input_that_is_not_utf8_is_rejected() {
    let mut query = format!("/*rid={ID},budget=1,acct=").into_bytes();
    query.extend_from_slice(b"\xff*/ SELECT 1");
    assert_eq!(parse(&query), Err(RequestFieldError::FieldsNotUtf8));
    let mut query = format!("/*rid={ID},budget=1*/ SELECT ").into_bytes();
    query.push(0xff);
    assert_eq!(parse(&query), Err(RequestFieldError::StatementNotUtf8));
}

/// Guards against the work and the memory of comments with thousands of fields, and of errors that repeat them.
#[test]
fn a_long_comment_is_rejected_and_errors_repeat_only_the_beginning_of_a_field() {
    let many_fields =
        format!("/* {}method=report,rid=0123456789abcdef,budget=10 */ SELECT 1", "a=1,".repeat(3_000));
    assert_eq!(parse(many_fields.as_bytes()), Err(RequestFieldError::CommentTooLong));
    let long_field = format!("/* {} */ SELECT 1", "\u{e9}".repeat(2_000));
    let error = parse(long_field.as_bytes()).expect_err("no pair").to_string();
    assert!(error.len() < 300 && error.contains("..."), "{error}");
}
