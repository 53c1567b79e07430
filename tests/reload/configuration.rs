//! Configurations drawn from a seed.

use oorandom::Rand32;
use serde_json::{Value, json};

/// The names that a configuration may have, each list in the order that a draw gives it.
const ZONES: [&str; 3] = ["dc", "east", "west"];
const MACHINE_TYPES: [&str; 2] = ["k", "m"];
const TENANTS: [&str; 3] = ["acme", "beta", "core"];
pub const CLASSES: [&str; 3] = ["lookup", "load", "report"];
const EFFECTS: [&str; 3] = ["safe", "unsafe", "keyed"];
const DEADLINES_MS: [u32; 4] = [900, 1_300, 2_500, 4_000];

/// A class of a configuration.
#[derive(Clone, Debug)]
pub struct DrawnClass {
    pub name: &'static str,
    pub effect: &'static str,
    pub deadline_ms: u32,
    /// The zones that the class may be sent to.
    pub zones: Vec<&'static str>,
    /// The machine types that the class may be sent to.
    pub machine_types: Vec<&'static str>,
}

/// A configuration.
#[derive(Clone, Debug)]
pub struct DrawnConfiguration {
    zones: Vec<&'static str>,
    machine_types: Vec<&'static str>,
    tenants: Vec<&'static str>,
    pub classes: Vec<DrawnClass>,
    pub max_attempts: u32,
}

/// Draws one of several values.
fn one<T: Copy>(random: &mut Rand32, values: &[T]) -> T {
    values[random.rand_range(0..values.len() as u32) as usize]
}

/// Draws some of the values, at least one, in any order.
fn some<T: Copy>(random: &mut Rand32, values: &[T]) -> Vec<T> {
    let mut remaining = values.to_vec();
    let count = random.rand_range(1..values.len() as u32 + 1);
    (0..count).map(|_| remaining.swap_remove(random.rand_range(0..remaining.len() as u32) as usize)).collect()
}

impl DrawnConfiguration {
    pub fn draw(random: &mut Rand32) -> Self {
        let (zones, machine_types) = (some(random, &ZONES), some(random, &MACHINE_TYPES));
        let names = some(random, &CLASSES);
        let mut class = |name| DrawnClass {
            name,
            effect: one(random, &EFFECTS),
            deadline_ms: one(random, &DEADLINES_MS),
            zones: some(random, &zones),
            machine_types: some(random, &machine_types),
        };
        let classes = names.into_iter().map(&mut class).collect();
        let (tenants, max_attempts) = (some(random, &TENANTS), one(random, &[1, 2, 4]));
        DrawnConfiguration { zones, machine_types, tenants, classes, max_attempts }
    }

    /// The class of this name; `None` if the configuration has none.
    pub fn class(&self, name: &str) -> Option<&DrawnClass> {
        self.classes.iter().find(|class| class.name == name)
    }

    /// Returns a configuration file with the settings of this configuration in place of its own.
    pub fn apply_to(&self, file: &str) -> String {
        let mut file: Value = serde_json::from_str(file).unwrap();
        let settings = &mut file["settings"];
        settings["areas"] = json!(self.zones);
        settings["kinds"] = json!(self.machine_types);
        settings["orgs"] =
            self.tenants.iter().map(|name| json!({"name": name, "quota_per_s": 100})).collect();
        settings["services"] = self.classes.iter().map(|class| self.class_json(class)).collect();
        settings["limits"]["max_attempts"] = json!(self.max_attempts);
        settings["family_info"]["class_threads"] = json!(vec![1; self.classes.len()]);
        settings["family_info"]["size_cores"] = json!(vec![8; self.machine_types.len()]);
        settings["family_info"]["ram_of_kind_mb"] = json!(vec![16_384; self.machine_types.len()]);
        file.to_string()
    }

    fn class_json(&self, class: &DrawnClass) -> Value {
        let positions = |all: &[&str], names: &[&str]| -> Vec<usize> {
            names.iter().filter_map(|name| all.iter().position(|other| other == name)).collect()
        };
        json!({
            "name": class.name, "effect": class.effect, "group": "zone", "window_ms": 5_000, "aim_ms": 500,
            "deadline_ms": class.deadline_ms, "importance": 1,
            "areas_open": positions(&self.zones, &class.zones),
            "served_on": positions(&self.machine_types, &class.machine_types),
        })
    }
}
