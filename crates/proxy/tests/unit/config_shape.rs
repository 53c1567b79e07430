//! Tests of the keys that a reloaded configuration must have.

use serde_json::json;

use super::missing_key;

#[test]
fn missing_keys_are_found_at_any_depth() {
    let shape = json!({ "a": 1, "b": { "c": 2 }, "absent": null });
    assert_eq!(missing_key(&shape, &shape), None);
    assert_eq!(missing_key(&shape, &json!({ "b": { "c": 2 } })), Some("a".into()));
    assert_eq!(missing_key(&shape, &json!({ "a": null, "b": { "c": 2 } })), Some("a".into()));
    assert_eq!(missing_key(&shape, &json!({ "a": 1, "b": {} })), Some("c".into()));
    assert_eq!(missing_key(&shape, &json!({ "a": 1, "b": 2 })), Some("c".into()));
    assert_eq!(missing_key(&shape, &json!({ "a": "other", "b": { "c": 3, "d": 4 } })), None);
}

#[test]
fn entries_of_a_list_need_the_keys_that_all_entries_of_the_shape_have() {
    let shape = json!({ "list": [{ "name": "a", "extra": 1 }, { "name": "b" }] });
    assert_eq!(missing_key(&shape, &json!({ "list": [{ "name": "c" }] })), None);
    assert_eq!(missing_key(&shape, &json!({ "list": [] })), None);
    assert_eq!(
        missing_key(&shape, &json!({ "list": [{ "name": "c" }, { "extra": 1 }] })),
        Some("name".into())
    );
}

#[test]
fn keys_of_coordinator_events_may_differ() {
    let shape = json!({ "known": { "index": 1, "updates": [{ "index": 1 }] } });
    assert_eq!(missing_key(&shape, &json!({ "known": {} })), None);
    assert_eq!(missing_key(&shape, &json!({})), Some("known".into()));
}
