//! The faults that the validation of a document by itself reports.

use gaugestep_config::check::check;
use gaugestep_config::{Document, text};

fn faults(text: &str) -> Vec<(&'static str, String)> {
    let document = text::parse(text).expect("the test's document can be read");
    check(&document).iter().map(|reason| (reason.code(), reason.path().to_owned())).collect()
}

#[test]
fn each_fault_is_reported_with_the_path_of_its_field() {
    let cases = [
        (r#"routes { name: "a" }"#, "missing", "routes[0].targets"),
        (r#"routes { targets { cell: 1 } }"#, "missing", "routes[0].name"),
        (r#"routes { name: "a" targets { } }"#, "missing", "routes[0].targets[0]"),
        (r#"routes { name: "a" targets { zone: "" } }"#, "missing", "routes[0].targets[0].zone"),
        (
            r#"routes { name: "a" targets { cell: 1 weight: 0 } }"#,
            "out-of-range",
            "routes[0].targets[0].weight",
        ),
        (
            r#"routes { name: "a" targets { cell: 1 weight: nan } }"#,
            "out-of-range",
            "routes[0].targets[0].weight",
        ),
        (
            r#"routes { name: "a" targets { cell: 1 } targets { cell: 1 } }"#,
            "duplicate",
            "routes[0].targets[1]",
        ),
        (r#"routes { name: "a b" targets { cell: 1 } }"#, "bad-name", "routes[0].name"),
        (
            r#"routes { name: "a" classes: "x" targets { cell: 1 } } classes: "y""#,
            "unknown-name",
            "routes[0].classes[0]",
        ),
        (
            r#"routes { name: "a" targets { cell: 1 } } routes { name: "b" classes: "x" targets { cell: 2 } }"#,
            "unreachable",
            "routes[1]",
        ),
        (r#"tenants { name: "t" }"#, "out-of-range", "tenants[0].quota_per_s"),
        (r#"limits { max_open: 0 }"#, "out-of-range", "limits.max_open"),
        (r#"retries { ratio: -0.5 }"#, "out-of-range", "retries.ratio"),
        (r#"logging { level: 9 }"#, "unknown-value", "logging.level"),
        (r#"classes: "x" classes: "x""#, "duplicate", "classes[1]"),
    ];
    for (text, code, path) in cases {
        assert_eq!(faults(text), [(code, path.to_owned())], "{text}");
    }
}

#[test]
fn all_faults_are_reported_at_once_and_a_valid_document_has_none() {
    assert_eq!(faults("limits { max_open: 0 } retries { ratio: 2 }").len(), 2);
    let valid = r#"routes { name: "a" classes: "x" targets { engine: "s-1" } }
        routes { name: "b" targets { zone: "east" weight: 3 } targets { zone: "west" } otherwise: ANY }"#;
    assert_eq!(faults(valid), []);
    assert_eq!(check(&Document::default()), []);
}
