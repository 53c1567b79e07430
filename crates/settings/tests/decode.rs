//! Decoding of settings documents: keys may have values of any type, and only numbers that are read are
//! checked.

use gaugestep_dispatch::interface::{DedupGroup, FleetPosition, Idempotency, ZoneId};
use gaugestep_settings::decode;
use serde_json::{Value, json};

#[test]
fn values_of_another_type_count_as_absent() {
    let empty = decode(&json!({})).unwrap();
    let documents = [
        json!(null),
        json!([["safe"], 1, 2]),
        json!({"services": {"effect": "safe"}, "kinds": 3, "orgs": "x", "family_info": [1], "limits": 7}),
        json!({"rules": ["x"], "prices": "x", "limits": [true, true], "unknown": {"a": 1}}),
    ];
    for document in documents {
        assert_eq!(decode(&document).unwrap(), empty, "{document}");
    }
    let decode_class = |class: Value| decode(&json!({ "services": [class] })).unwrap().classes.remove(0);
    let unsafe_class = decode_class(json!({}));
    for class in [json!(1), json!(["safe"]), json!({"effect": {"safe": null}}), json!({"keep_order": 1})] {
        assert_eq!(decode_class(class.clone()), unsafe_class, "{class}");
    }
    assert_eq!(unsafe_class.idempotency, Idempotency::Unsafe);
    let restricted = decode_class(json!({"areas_open": [1, -1, "x", 2.5, 2], "served_on": 4}));
    assert_eq!((restricted.zones, restricted.machine_types), (Some(vec![ZoneId(1), ZoneId(2)]), None));
}

#[test]
fn a_number_of_another_type_is_an_error_only_where_it_is_read() {
    let message = |document: &Value| decode(document).unwrap_err().to_string();
    assert_eq!(message(&json!({"balancers": "x"})), "setting 'balancers' is \"x\", not a number");
    let keyed = |effect: &str| json!({"services": [{"effect": effect, "group": "zone", "window_ms": true}]});
    assert_eq!(message(&keyed("keyed")), "setting 'window_ms' is true, not a number");
    assert!(decode(&keyed("safe")).is_ok(), "the window is read for keyed classes only");
    let rules = |window: Value| json!({"rules": {"ratio_span_ms": window, "budget_free": []}});
    assert_eq!(message(&rules(json!(5))), "setting 'budget_free' is [], not a number");
    assert_eq!(decode(&rules(Value::Null)).unwrap().retry_budget, None);
    let limits = |honoured: bool| json!({"limits": {"retry_after": honoured, "max_retry_after_ms": {}}});
    assert_eq!(message(&limits(true)), "setting 'max_retry_after_ms' is {}, not a number");
    assert!(decode(&limits(false)).is_ok(), "the limit is read only if clients honour a retry delay");
}

#[test]
fn the_first_bad_number_in_the_order_of_decoding_is_reported() {
    let bad = json!({"zone": "z", "me": "m", "orgs": [{"quota_per_s": "q"}], "services": [{"aim_ms": "a"}]});
    assert_eq!(decode(&bad).unwrap_err().key, "aim_ms");
    let bad = json!({"zone": "z", "me": "m", "orgs": [{"quota_per_s": "q"}]});
    assert_eq!(decode(&bad).unwrap_err().key, "quota_per_s");
    let bad = json!({"zone": "z", "me": "m"});
    assert_eq!(decode(&bad).unwrap_err().key, "me");
}

#[test]
fn ordinal_outside_the_fleet_size_is_ignored() {
    let position = |ordinal: f64| decode(&json!({"me": ordinal, "balancers": 3})).unwrap().fleet_position;
    assert_eq!(Some(position(2.0)), FleetPosition::ordinal(2, 3));
    assert_eq!((position(3.0), position(-1.0)), (FleetPosition::NameKey(0), FleetPosition::NameKey(0)));
}

#[test]
fn keyed_class_has_the_named_dedup_group_or_all_engines() {
    for (group, expected) in [("zone", DedupGroup::Zone), ("cell", DedupGroup::Cell), ("x", DedupGroup::All)]
    {
        let class = json!({"effect": "keyed", "group": group, "window_ms": 9});
        let settings = decode(&json!({ "services": [class] })).unwrap();
        assert_eq!(settings.classes[0].idempotency, Idempotency::Keyed(expected, 9.0));
    }
}
