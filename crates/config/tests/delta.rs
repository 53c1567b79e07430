//! Documents as deltas to other documents.

use gaugestep_config::Document;
use gaugestep_config::delta::{apply, diff};
use gaugestep_config::text::parse;

#[test]
fn a_delta_holds_only_what_differs_and_yields_the_new_document() {
    let old = parse(
        r#"routes { name: "a" targets { cell: 1 } } routes { name: "b" classes: "x" targets { cell: 2 } }
           tenants { name: "t" quota_per_s: 1 } limits { max_open: 5 }"#,
    )
    .unwrap();
    let new = parse(
        r#"routes { name: "b" classes: "x" targets { cell: 3 } } routes { name: "a" targets { cell: 1 } }
           classes: "x""#,
    )
    .unwrap();
    let delta = diff(7, &old, &new);
    assert_eq!(delta.routes.len(), 1);
    assert_eq!(apply(&old, &delta).unwrap(), new);
    assert_eq!(apply(&Document::default(), &delta).unwrap_err().code(), "unreadable");
}
