//! Golden files: the output of the programs when the files were last written.

use std::path::PathBuf;

use serde_json::Value;

/// Set to `1` to write the golden files in place of comparing with them.
const WRITE_VARIABLE: &str = "GAUGESTEP_WRITE_GOLDEN";

/// Replaces a value that differs between runs.
const PLACEHOLDER: &str = "<varies>";

/// Compares `actual` with the golden file of this name, or writes the file if the environment asks for it.
pub fn assert_matches(name: &str, actual: &str) {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name);
    let actual = format!("{}\n", actual.trim_end());
    if std::env::var(WRITE_VARIABLE).is_ok_and(|value| value == "1") {
        std::fs::write(&path, actual).unwrap();
        return;
    }
    let expected = std::fs::read_to_string(&path)
        .unwrap_or_else(|error| panic!("tests/golden/{name}: {error}; {WRITE_VARIABLE}=1 writes it"));
    assert!(expected == actual, "{}", difference(name, &expected, &actual));
}

/// A message with the first line that differs and the complete output.
fn difference(name: &str, expected: &str, actual: &str) -> String {
    let (mut old, mut new) = (expected.lines(), actual.lines());
    let mut number = 0;
    loop {
        number += 1;
        let (old_line, new_line) = (old.next(), new.next());
        if old_line != new_line {
            return format!(
                "tests/golden/{name} differs from line {number} on:\n- {old_line:?}\n+ {new_line:?}\nproduced:\n{actual}"
            );
        }
    }
}

/// JSON with the values of these keys replaced, wherever the keys occur. An absent value (`null`) stays.
pub fn without_varying(value: &Value, varying: &[&str]) -> Value {
    match value {
        Value::Array(entries) => entries.iter().map(|entry| without_varying(entry, varying)).collect(),
        Value::Object(fields) => fields
            .iter()
            .map(|(key, field)| match varying.contains(&key.as_str()) && !field.is_null() {
                true => (key.clone(), format!("{PLACEHOLDER}: {}", type_name(field)).into()),
                false => (key.clone(), without_varying(field, varying)),
            })
            .collect(),
        other => other.clone(),
    }
}

fn type_name(value: &Value) -> &'static str {
    match value {
        Value::Null => "null",
        Value::Bool(_) => "boolean",
        Value::Number(_) => "number",
        Value::String(text) if text.is_empty() => "empty string",
        Value::String(_) => "string",
        Value::Array(_) => "array",
        Value::Object(_) => "object",
    }
}

/// JSON in the form of a golden file.
pub fn pretty(value: &Value) -> String {
    serde_json::to_string_pretty(value).unwrap()
}
