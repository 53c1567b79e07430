//! Documents in protobuf text format.

use gaugestep_config::text::{TextError, parse, print};

#[test]
fn an_unknown_field_is_an_error_that_names_it() {
    let error = parse("routes { name: \"a\"\n  colour: 3 }").unwrap_err();
    assert!(matches!(error, TextError::Syntax(_)), "{error:?}");
    assert!(error.to_string().contains("colour"), "{error}");
}

#[test]
fn a_printed_document_is_parsed_to_an_equal_document() {
    let text = r#"routes { name: "n" classes: "report" targets { zone: "east" weight: 2.5 } otherwise: ANY }
        tenants { name: "acme" quota_per_s: 40 } limits { max_open: 300 } retries { ratio: 0.1 }
        logging { level: DEBUG parts { name: "gaugestep::net" level: WARN } } classes: "report""#;
    let document = parse(text).unwrap();
    assert_eq!(document.routes[0].targets[0].weight, Some(2.5));
    assert_eq!(parse(&print(&document).unwrap()).unwrap(), document);
}
