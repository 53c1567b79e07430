//! Compiles the protobuf schema in pure Rust, so that `protoc` need not be installed.

use std::path::PathBuf;

use prost::Message as _;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let root = PathBuf::from(std::env::var("CARGO_MANIFEST_DIR")?).join("../../proto");
    println!("cargo:rerun-if-changed={}", root.display());
    let files = ["document", "base", "group", "stream", "operator"]
        .map(|name| format!("gaugestep/config/v1/{name}.proto"));
    let compiled = protox::compile(files, [root])?;
    let out = PathBuf::from(std::env::var("OUT_DIR")?);
    std::fs::write(out.join("schema.bin"), compiled.encode_to_vec())?;
    prost_build::Config::new().compile_fds(compiled)?;
    Ok(())
}
