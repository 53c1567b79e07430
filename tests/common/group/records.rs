//! Records of what processes did, read from their logs.

use gaugestep_testbed::leadership_audit::Record;
use serde_json::Value;

/// The lines of a log that are JSON.
pub fn read_log(log: &str) -> Vec<Value> {
    log.lines().filter_map(|line| serde_json::from_str(line).ok()).collect()
}

/// What a proxy's log records.
pub fn records_of_proxy(proxy: &str, lines: &[Value]) -> Vec<Record> {
    let mut records = Vec::new();
    let mut offered = (0, 0);
    for line in lines {
        let number = |key: &str| line[key].as_u64().unwrap_or(0);
        let (proxy, digest) = (proxy.to_owned(), line["digest"].as_str().unwrap_or_default().to_owned());
        match line["message"].as_str() {
            Some("term stored") => records.push(Record::TermSeen { proxy, term: number("term") }),
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
