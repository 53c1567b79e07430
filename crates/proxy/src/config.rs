//! What the proxy is told at its start.

use std::net::SocketAddr;
use std::path::Path;

use gaugestep_dispatch::Settings;
use gaugestep_dispatch::interface::FleetPosition;
use serde_json::Value;

/// The limits that the proxy keeps.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Descriptors that the process may hold.
    pub descriptors: usize,
    /// Memory that the process may hold, in bytes.
    pub memory_bytes: usize,
    /// Attempts that one connection to a database carries together.
    pub multiplex: usize,
    /// A connection that is not up within this time has failed, in milliseconds.
    pub dial_timeout_ms: u64,
    /// Idle connections are closed by the databases after this time, in milliseconds.
    pub idle_ms: u64,
    /// Requests that may be open together.
    pub max_open: usize,
    /// The longest time in which a class gives up, in milliseconds.
    pub longest_deadline_ms: f64,
}

/// The names that the protocol uses, in the order of the settings.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// ClassRegistry of requests.
    pub classes: Vec<String>,
    /// Tenants; may be empty.
    pub tenants: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
    /// Kinds of machine.
    pub machines: Vec<String>,
}

/// The whole configuration.
#[derive(Clone, Debug)]
pub struct Config {
    /// The proxy's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// The seed of the module's random numbers.
    pub seed: u64,
    /// Where operators call, if they may.
    pub management: Option<SocketAddr>,
    /// The coordinator's address, if there is one.
    pub coordinator: Option<SocketAddr>,
    /// The number of the last event in `known`.
    pub known_index: u64,
    /// The coordinator's events up to the start.
    pub known: Vec<Value>,
    /// The module's settings.
    pub settings: Settings,
    /// Names of the settings.
    pub names: Names,
    /// Limits.
    pub limits: Limits,
}

impl Config {
    /// Reads the file; the error is one plain line.
    pub fn load(path: &Path) -> Result<Self, String> {
        let json = read(path)?;
        Self::decode(&json).map_err(|error| format!("{}: {error}", path.display()))
    }

    /// Reads the file anew. It is turned down whole if it lacks a key that the file of the start had.
    pub fn reload(path: &Path, shape: &Value) -> Result<Self, String> {
        let json = read(path)?;
        match lacks(shape, &json) {
            Some(key) => Err(format!("{}: '{key}' is missing", path.display())),
            None => Self::decode(&json).map_err(|error| format!("{}: {error}", path.display())),
        }
    }

    fn decode(json: &Value) -> Result<Self, String> {
        let told = &json["settings"];
        if !told.is_object() {
            return Err("'settings' is missing".into());
        }
        let mut settings = gaugestep_settings::settings(told)?;
        let name = json["name"].as_str().unwrap_or("gaugestep").to_owned();
        if settings.fleet_position == FleetPosition::NameKey(0) {
            settings.fleet_position = FleetPosition::NameKey(gaugestep_subsetting::key(&name));
        }
        settings.validate().map_err(|error| error.to_string())?;
        let address = |key: &str| -> Result<Option<SocketAddr>, String> {
            match &json[key] {
                Value::Null => Ok(None),
                Value::String(text) => {
                    text.parse().map(Some).map_err(|_| format!("'{key}' is '{text}', no address"))
                }
                other => Err(format!("'{key}' is {other}, not a text")),
            }
        };
        let seed = match &json["seed"] {
            Value::Null => 0,
            Value::Number(number) => number.as_u64().ok_or("'seed' is out of range")?,
            Value::String(text) => u64::from_str_radix(text, 16)
                .map_err(|_| format!("'seed' is '{text}', not a hexadecimal number"))?,
            other => return Err(format!("'seed' is {other}, no number")),
        };
        let whole = |object: &Value, key: &str, absent: u64| match &object[key] {
            Value::Null => Ok(absent),
            value => value
                .as_f64()
                .filter(|number| *number >= 0.0)
                .map(|number| number as u64)
                .ok_or_else(|| format!("'{key}' is {value}, not a number of 0 or more")),
        };
        let above_0 = |key: &str, value: &Value| match value.as_f64() {
            Some(number) if number > 0.0 => Ok(number),
            _ => Err(format!("'{key}' is {value}, not a number above 0")),
        };
        let mut longest: Option<f64> = None;
        for class in told["services"].as_array().into_iter().flatten() {
            if class["name"].as_str().is_none_or(str::is_empty) {
                return Err("a class of 'services' has no name".into());
            }
            if let Some(deadline) = class.get("deadline_ms") {
                longest = Some(above_0("deadline_ms", deadline)?.max(longest.unwrap_or(0.0)));
            }
        }
        if let Some(attempts) = told["limits"].get("max_attempts") {
            above_0("max_attempts", attempts)?;
        }
        let limits = Limits {
            longest_deadline_ms: longest.unwrap_or(f64::INFINITY),
            descriptors: whole(&json["limits"], "sockets", 1024)? as usize,
            memory_bytes: whole(&json["limits"], "memory_mb", 192)?.saturating_mul(1024 * 1024) as usize,
            multiplex: (whole(&told["limits"], "multiplex", 100)? as usize).max(1),
            dial_timeout_ms: whole(&told["limits"], "dial_timeout_ms", 250)?.max(1),
            idle_ms: whole(&told["limits"], "conn_idle_ms", 30_000)?,
            max_open: whole(&told["limits"], "max_open", 20_000)? as usize,
        };
        if limits.descriptors < 64 {
            return Err("'limits.sockets' must be 64 or more".into());
        }
        let known = &json["known"];
        let known_index = whole(known, "index", 0)?;
        Ok(Config {
            name,
            listen: address("listen")?.ok_or("'listen' is missing")?,
            seed,
            management: address("management")?,
            coordinator: address("coordinator")?,
            known_index,
            known: known["updates"].as_array().cloned().unwrap_or_default(),
            settings,
            names: Names {
                classes: named(told, "services"),
                tenants: named(told, "orgs"),
                zones: named(told, "areas"),
                machines: named(told, "kinds"),
            },
            limits,
        })
    }
}

/// The file as JSON; the error is one plain line.
pub fn read(path: &Path) -> Result<Value, String> {
    let text = std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
    serde_json::from_str(&text).map_err(|error| format!("{}: not JSON: {error}", path.display()))
}

/// A key of `shape` that `json` lacks. In a list, each entry needs what all entries of the shape's list have.
fn lacks(shape: &Value, json: &Value) -> Option<String> {
    match (shape, json) {
        (Value::Object(shape), Value::Object(json)) => {
            shape.iter().find_map(|(key, inside)| match json.get(key) {
                None | Some(Value::Null) if !inside.is_null() => Some(key.clone()),
                // Events differ in what they hold.
                Some(told) if key != "known" => lacks(inside, told),
                _ => None,
            })
        }
        (Value::Object(shape), _) => shape.keys().next().cloned(),
        (Value::Array(shape), Value::Array(json)) => {
            let first = shape.first()?.as_object()?;
            let common = first.keys().filter(|key| shape.iter().all(|entry| !entry[key.as_str()].is_null()));
            let lacking = |key: &&String| json.iter().any(|entry| entry[key.as_str()].is_null());
            common.into_iter().find(lacking).cloned()
        }
        _ => None,
    }
}

/// The names in a list of names, or of objects that have one.
fn named(json: &Value, key: &str) -> Vec<String> {
    let name = |entry: &Value| entry.as_str().or(entry["name"].as_str()).unwrap_or_default().to_owned();
    json[key].as_array().map_or_else(Vec::new, |all| all.iter().map(name).collect())
}
