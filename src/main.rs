//! The real proxy.

fn main() {
    println!("gaugestep {}: the proxy is not built yet", env!("CARGO_PKG_VERSION"));
}
