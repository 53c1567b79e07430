//! The JSON keys of the subscriber's status in the proxy's admin API. Operators' tools read them, so they
//! must not change.

use gaugestep_control_plane::client::{OrdinalStatus, RejectionStatus, SubscriberStatus};
use serde_json::json;

fn status() -> SubscriberStatus {
    SubscriberStatus {
        version: 3,
        digest: "a1b2c3d4e5f6".into(),
        in_force_seconds: Some(12.0),
        is_following: true,
        rejected: 1,
        term: 5,
        stale_rejected: 2,
        incarnation: "000000000000002a".into(),
        name_term: 4,
        name_is_superseded: false,
        ordinal: Some(OrdinalStatus {
            ordinal: 1,
            fleet_size: 8,
            epoch: Some(9),
            term: 5,
            remaining_ms: 4_000.0,
        }),
        last_rejection: Some(RejectionStatus {
            version: 2,
            code: "missing",
            path: "routes[0].name".into(),
            reason: "'routes[0].name' is missing".into(),
        }),
        routes_without_engines: vec!["reports".into()],
    }
}

#[test]
fn a_status_has_the_keys_of_the_admin_api() {
    let expected = json!({
        "version": 3, "digest": "a1b2c3d4e5f6", "age_s": 12.0, "connected": true, "refused": 1, "term": 5,
        "stale_refused": 2, "process": "000000000000002a", "name_term": 4, "displaced": false,
        "seat": {"seat": 1, "seats": 8, "epoch": 9, "term": 5, "left_ms": 4_000.0},
        "last_refusal": {
            "version": 2, "code": "missing", "path": "routes[0].name", "reason": "'routes[0].name' is missing",
        },
        "weak_routes": ["reports"],
    });
    assert_eq!(json!(status()), expected);
}

#[test]
fn absent_values_are_null() {
    let without =
        SubscriberStatus { in_force_seconds: None, ordinal: None, last_rejection: None, ..status() };
    let shown = json!(without);
    for key in ["age_s", "seat", "last_refusal"] {
        assert!(shown[key].is_null() && shown.get(key).is_some(), "{key}");
    }
}
