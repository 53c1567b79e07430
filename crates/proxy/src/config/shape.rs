//! Checks that a reloaded configuration has the keys of the initial one.

use serde_json::Value;

/// The key of the coordinator's events. Its value is not compared, because events of different types have
/// different keys.
const EVENTS_KEY: &str = "known";

/// Returns the first key that is present in `shape` and missing from `json`, or `None`. Entries of a list
/// need the keys that all entries of the corresponding list in `shape` have.
pub fn missing_key(shape: &Value, json: &Value) -> Option<String> {
    match (shape, json) {
        (Value::Object(shape), Value::Object(json)) => {
            shape.iter().find_map(|(key, shape_value)| match json.get(key) {
                None | Some(Value::Null) if !shape_value.is_null() => Some(key.clone()),
                Some(value) if key != EVENTS_KEY => missing_key(shape_value, value),
                _ => None,
            })
        }
        (Value::Object(shape), _) => shape.keys().next().cloned(),
        (Value::Array(shape), Value::Array(json)) => {
            let first = shape.first()?.as_object()?;
            let mut required_keys =
                first.keys().filter(|key| shape.iter().all(|entry| !entry[key.as_str()].is_null()));
            required_keys.find(|key| json.iter().any(|entry| entry[key.as_str()].is_null())).cloned()
        }
        _ => None,
    }
}

#[cfg(test)]
#[path = "../../tests/unit/config_shape.rs"]
mod tests;
