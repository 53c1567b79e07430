//! The keys of `deploy/balancer.toml`, a file that the platform reads.

use crate::golden;

#[test]
fn deploy_file_keeps_its_keys() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/deploy/balancer.toml");
    let text = std::fs::read_to_string(path).unwrap();
    let keys: Vec<&str> =
        text.lines().filter_map(|line| line.split_once(" = ")).map(|(key, _)| key.trim()).collect();
    golden::assert_matches("deploy_file.txt", &keys.join("\n"));
}
