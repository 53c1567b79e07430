//! Records for the audit, read from the logs of processes.

use gaugestep_testbed::leadership_audit::Record;
use serde_json::Value;

/// The lines of a log that are JSON; other lines are skipped.
pub fn read_log(log: &str) -> Vec<Value> {
    log.lines().filter_map(|line| serde_json::from_str(line).ok()).collect()
}

/// Records of a proxy: terms that it stored, versions that came into force, and stale commands that it
/// rejected.
pub fn records_of_proxy(proxy: &str, lines: &[Value]) -> Vec<Record> {
    let mut records = Vec::new();
    let mut offered = (0, 0);
    for line in lines {
        let number = |key: &str| line[key].as_u64().unwrap_or(0);
        let (proxy, digest) = (proxy.to_owned(), line["digest"].as_str().unwrap_or_default().to_owned());
        match line["message"].as_str() {
            Some("term stored") => records.push(Record::TermStored { proxy, term: number("term") }),
            Some("version offered") => offered = (number("version"), number("term")),
            Some("version in force") => {
                let term = if offered.0 == number("version") { offered.1 } else { 0 };
                records.push(Record::InForce { proxy, number: number("version"), digest, term });
            }
            Some("starts on the last good version") => {
                records.push(Record::InForce { proxy, number: number("version"), digest, term: 0 });
            }
            _ if line["code"] == "stale-term" => {
                records.push(Record::StaleRejected { process: proxy, term: number("term") });
            }
            _ => {}
        }
    }
    records
}
