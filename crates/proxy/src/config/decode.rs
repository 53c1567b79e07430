//! Decodes the configuration file from JSON.

use std::net::SocketAddr;

use gaugestep_dispatch::Settings;
use gaugestep_dispatch::interface::FleetPosition;
use serde_json::Value;

use super::error::DecodeError;
use super::{Config, ConnectionSettings, Limits, MIN_DESCRIPTORS, Names};

/// The proxy's name if the configuration has none.
const DEFAULT_NAME: &str = "gaugestep";

const BYTES_PER_MB: u64 = 1024 * 1024;

/// Decodes a configuration. Optional keys that are missing get their default values.
///
/// # Errors
///
/// Returns an error if a required key is missing, or the value of a key is invalid.
pub fn decode(json: &Value) -> Result<Config, DecodeError> {
    let settings_json = &json["settings"];
    if !settings_json.is_object() {
        return Err(DecodeError::Missing("settings".into()));
    }
    let name = json["name"].as_str().unwrap_or(DEFAULT_NAME).to_owned();
    let settings = settings(settings_json, &name)?;
    let seed = seed(&json["seed"])?;
    let longest_deadline_ms = longest_deadline_ms(&settings_json["services"])?;
    let limits = limits(&json["limits"])?;
    let request_limits = &settings_json["limits"];
    if let Some(max_attempts) = request_limits.get("max_attempts") {
        positive_number("max_attempts", max_attempts)?;
    }
    let initial = &json["known"];
    let initial_event_index = whole_number(initial, "index", 0)?;
    Ok(Config {
        name,
        listen_address: address(json, "listen")?.ok_or_else(|| DecodeError::Missing("listen".into()))?,
        seed,
        admin_address: address(json, "management")?,
        coordinator_address: address(json, "coordinator")?,
        initial_event_index,
        initial_events: initial["updates"].as_array().cloned().unwrap_or_default(),
        settings,
        names: Names {
            classes: names(settings_json, "services"),
            tenants: names(settings_json, "orgs"),
            zones: names(settings_json, "areas"),
            machine_types: names(settings_json, "kinds"),
        },
        limits,
        connections: connections(request_limits)?,
        max_open: whole_number(request_limits, "max_open", 20_000)? as usize,
        longest_deadline_ms,
    })
}

/// Decodes the dispatcher's settings. A proxy without an ordinal derives its position in the fleet from its
/// name.
fn settings(json: &Value, name: &str) -> Result<Settings, DecodeError> {
    let mut settings = gaugestep_settings::decode(json)?;
    if settings.fleet_position == FleetPosition::NameKey(0) {
        settings.fleet_position = FleetPosition::NameKey(gaugestep_subsetting::key(name));
    }
    settings.validate()?;
    Ok(settings)
}

/// Decodes the seed: a number, or hexadecimal digits as text; 0 if it is missing.
fn seed(value: &Value) -> Result<u64, DecodeError> {
    match value {
        Value::Null => Ok(0),
        Value::Number(number) => number.as_u64().ok_or(DecodeError::SeedOutOfRange),
        Value::String(text) => {
            u64::from_str_radix(text, 16).map_err(|_| DecodeError::SeedNotHexadecimal(text.clone()))
        }
        other => Err(DecodeError::SeedNotANumber(other.clone())),
    }
}

/// Decodes the limits of the process.
fn limits(json: &Value) -> Result<Limits, DecodeError> {
    let limits = Limits {
        descriptors: whole_number(json, "sockets", 1024)? as usize,
        memory_bytes: whole_number(json, "memory_mb", 192)?.saturating_mul(BYTES_PER_MB) as usize,
    };
    if limits.descriptors < MIN_DESCRIPTORS {
        return Err(DecodeError::TooFewDescriptors);
    }
    Ok(limits)
}

/// Decodes the settings of the connections to engines from the limits in the settings.
fn connections(json: &Value) -> Result<ConnectionSettings, DecodeError> {
    Ok(ConnectionSettings {
        max_attempts_per_connection: (whole_number(json, "multiplex", 100)? as usize).max(1),
        dial_timeout_ms: whole_number(json, "dial_timeout_ms", 250)?.max(1),
        engine_idle_timeout_ms: whole_number(json, "conn_idle_ms", 30_000)?,
    })
}

/// Returns the longest deadline of all classes, in milliseconds; infinite if no class has a deadline. Fails
/// if a class has no name or an invalid deadline.
fn longest_deadline_ms(classes: &Value) -> Result<f64, DecodeError> {
    let mut longest: Option<f64> = None;
    for class in classes.as_array().into_iter().flatten() {
        if class["name"].as_str().is_none_or(str::is_empty) {
            return Err(DecodeError::UnnamedClass);
        }
        if let Some(deadline_ms) = class.get("deadline_ms") {
            let deadline_ms = positive_number("deadline_ms", deadline_ms)?;
            longest = Some(deadline_ms.max(longest.unwrap_or(0.0)));
        }
    }
    Ok(longest.unwrap_or(f64::INFINITY))
}

/// Decodes an optional socket address.
fn address(json: &Value, key: &'static str) -> Result<Option<SocketAddr>, DecodeError> {
    match &json[key] {
        Value::Null => Ok(None),
        Value::String(text) => match text.parse() {
            Ok(address) => Ok(Some(address)),
            Err(_) => Err(DecodeError::NotAnAddress { key, text: text.clone() }),
        },
        other => Err(DecodeError::NotText { key, value: other.clone() }),
    }
}

/// Decodes a number of 0 or more, rounded down.
fn whole_number(object: &Value, key: &'static str, default: u64) -> Result<u64, DecodeError> {
    match &object[key] {
        Value::Null => Ok(default),
        value => match value.as_f64() {
            Some(number) if number >= 0.0 => Ok(number as u64),
            _ => Err(DecodeError::Negative { key, value: value.clone() }),
        },
    }
}

/// Decodes a number above 0.
fn positive_number(key: &'static str, value: &Value) -> Result<f64, DecodeError> {
    match value.as_f64() {
        Some(number) if number > 0.0 => Ok(number),
        _ => Err(DecodeError::NotPositive { key, value: value.clone() }),
    }
}

/// Returns the names in a list whose entries are names or objects with the key `name`. An entry without a
/// name yields an empty one.
fn names(json: &Value, key: &str) -> Vec<String> {
    let name = |entry: &Value| entry.as_str().or(entry["name"].as_str()).unwrap_or_default().to_owned();
    json[key].as_array().map_or_else(Vec::new, |entries| entries.iter().map(name).collect())
}
