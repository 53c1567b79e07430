//! Compares the keys of two configurations.

use serde_json::Value;

/// The coordinator's events, which differ in the keys that they have.
const EVENTS: &str = "known";

/// A key that `shape` has and `json` lacks. Each entry of a list needs what all entries of the shape's list have.
pub fn missing_key(shape: &Value, json: &Value) -> Option<String> {
    match (shape, json) {
        (Value::Object(shape), Value::Object(json)) => {
            shape.iter().find_map(|(key, inside)| match json.get(key) {
                None | Some(Value::Null) if !inside.is_null() => Some(key.clone()),
                Some(value) if key != EVENTS => missing_key(inside, value),
                _ => None,
            })
        }
        (Value::Object(shape), _) => shape.keys().next().cloned(),
        (Value::Array(shape), Value::Array(json)) => {
            let first = shape.first()?.as_object()?;
            let mut common =
                first.keys().filter(|key| shape.iter().all(|entry| !entry[key.as_str()].is_null()));
            common.find(|key| json.iter().any(|entry| entry[key.as_str()].is_null())).cloned()
        }
        _ => None,
    }
}
