//! Versioned configuration over mutual TLS: who is believed, and keys that change while streams are open.
#![allow(clippy::unwrap_used, reason = "helpers of tests: a failed unwrap is a failed test")]

#[path = "common/control.rs"]
mod control;
#[path = "common/proxy.rs"]
mod proxy;

use std::path::Path;
use std::time::{Duration, Instant};

use control::{ControlServer, wait_until, write_operator_file};
use proxy::{Launch, Proxy};
use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};

/// Somebody who signs certificates.
struct Authority {
    issuer: Issuer<'static, KeyPair>,
    pem: String,
}

impl Authority {
    fn new(name: &str) -> Self {
        let key = KeyPair::generate().unwrap();
        let mut params = CertificateParams::new(vec![name.to_owned()]).unwrap();
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let pem = params.self_signed(&key).unwrap().pem();
        Authority { issuer: Issuer::new(params, key), pem }
    }

    /// Writes a certificate for a name with its key, and this authority's own certificate beside them.
    fn sign(&self, folder: &Path, file: &str, name: &str) {
        let key = KeyPair::generate().unwrap();
        let params = CertificateParams::new(vec![name.to_owned()]).unwrap();
        let certificate = params.signed_by(&key, &self.issuer).unwrap();
        std::fs::write(folder.join(format!("{file}.key")), key.serialize_pem()).unwrap();
        std::fs::write(folder.join(format!("{file}.pem")), certificate.pem()).unwrap();
    }

    fn write(&self, folder: &Path, file: &str) {
        std::fs::write(folder.join(format!("{file}.pem")), &self.pem).unwrap();
    }
}

fn keys(folder: &Path, file: &str, authority: &str) -> String {
    let path = |name: String| format!("{:?}", folder.join(name).display().to_string());
    format!(
        "keys {{ certificate: {} key: {} authority: {} }}",
        path(format!("{file}.pem")),
        path(format!("{file}.key")),
        path(format!("{authority}.pem"))
    )
}

/// A service with keys, one authority for proxies and one for operators.
fn service() -> (ControlServer, Authority, Authority) {
    let (proxies, operators) = (Authority::new("proxies"), Authority::new("operators"));
    (service_of(&proxies, &operators, "control.test", ""), proxies, operators)
}

/// A service whose certificate carries this name, with more in its file.
fn service_of(proxies: &Authority, operators: &Authority, name: &str, more: &str) -> ControlServer {
    let folder = tempfile::tempdir().unwrap();
    proxies.write(folder.path(), "proxies");
    operators.write(folder.path(), "operators");
    proxies.sign(folder.path(), "service", name);
    operators.sign(folder.path(), "operator", "anybody");
    let path = |name: &str| folder.path().join(name).display().to_string();
    let extra = format!(
        "{} operators_authority: {:?} {more}",
        keys(folder.path(), "service", "proxies"),
        path("operators.pem")
    );
    let client = ["--certificate", "operator.pem", "--key", "operator.key", "--authority", "proxies.pem"];
    let mut client: Vec<String> =
        client.iter().map(|it| if it.starts_with("--") { (*it).to_owned() } else { path(it) }).collect();
    client.extend(["--service-name".to_owned(), name.to_owned()]);
    ControlServer::with_settings(folder, extra, client)
}

/// A proxy that shows the certificate of this name in its files.
fn proxy(control: &ControlServer, kept: &tempfile::TempDir, file: &str) -> Proxy {
    let folder = control.folder.path();
    let extra = format!("{} service_name: \"control.test\"", keys(folder, file, "proxies"));
    let file = write_operator_file(folder, control.listen, &kept.path().join("n0"), &extra);
    Launch { operator: Some(file), ..Launch::new(&[]) }.start()
}

fn in_force(proxy: &Proxy) -> u64 {
    proxy.statistic("/configuration/version").unwrap()
}

#[test]
fn a_proxy_with_its_own_certificate_connects_and_certificates_are_reloaded_without_dropping_the_stream() {
    let (control, proxies, _) = service();
    proxies.sign(control.folder.path(), "n0", "n0");
    let kept = tempfile::tempdir().unwrap();
    let proxy = proxy(&control, &kept, "n0");
    let first = control.publish("limits { max_open: 21 }", &[]);
    wait_until("the first is in force", || in_force(&proxy) == first);
    // New keys on both sides, each file behind the other.
    proxies.sign(control.folder.path(), "service", "control.test");
    proxies.sign(control.folder.path(), "n0", "n0");
    wait_until("the service takes its new keys", || control.log().matches("keys reloaded").count() >= 2);
    let second = control.publish("limits { max_open: 22 }", &[]);
    wait_until("the second is in force", || in_force(&proxy) == second);
    assert_eq!(control.log().matches("proxy connected").count(), 1, "over the stream that was open");
    let kept = tempfile::tempdir().unwrap();
    let newcomer = self::proxy(&control, &kept, "n0");
    wait_until("a newcomer follows with the new keys", || in_force(&newcomer) == second);
}

#[test]
fn certificates_of_another_proxy_another_authority_or_another_purpose_are_not_trusted() {
    let (control, proxies, operators) = service();
    let folder = control.folder.path();
    proxies.sign(folder, "other", "n7");
    operators.sign(folder, "foreign", "n0");
    let number = control.publish("limits { max_open: 21 }", &[]);
    let kept: Vec<_> = (0..2).map(|_| tempfile::tempdir().unwrap()).collect();
    let refused: Vec<Proxy> =
        ["other", "foreign"].iter().zip(&kept).map(|(file, kept)| proxy(&control, kept, file)).collect();
    wait_until("the other proxy's name is told", || control.log().contains("does not carry the name 'n0'"));
    // A proxy's key is no operator's.
    proxies.sign(folder, "n0", "n0");
    let path = |name: &str| folder.join(name).display().to_string();
    let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_gaugestep-control"));
    command.args(["list", "--service", &control.operators.to_string(), "--service-name", "control.test"]);
    command.args([
        "--certificate",
        &path("n0.pem"),
        "--key",
        &path("n0.key"),
        "--authority",
        &path("proxies.pem"),
    ]);
    assert_eq!(command.output().unwrap().status.code(), Some(1));
    // Nor is nobody's.
    let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_gaugestep-control"));
    command.args(["list", "--service", &control.operators.to_string()]);
    assert_eq!(command.output().unwrap().status.code(), Some(1));
    let began = Instant::now();
    while began.elapsed() < Duration::from_millis(500) {
        assert!(refused.iter().all(|proxy| in_force(proxy) == 0));
        std::thread::sleep(Duration::from_millis(20));
    }
    let kept = tempfile::tempdir().unwrap();
    let believed = proxy(&control, &kept, "n0");
    wait_until("its own key is believed", || in_force(&believed) == number);
}

/// Members show each other the service's certificate; one that shows a proxy's is of no group.
#[test]
fn members_of_a_group_trust_only_the_name_of_the_service() {
    let (proxies, operators) = (Authority::new("proxies"), Authority::new("operators"));
    let of = |member: u32, joins: bool, name: &str| {
        let group = format!("group {{ member: {member} joins: {joins} service_name: \"control.test\" }}");
        service_of(&proxies, &operators, name, &group)
    };
    let (first, second) = (of(1, false, "control.test"), of(2, true, "control.test"));
    let add = |number: &str, of: &ControlServer| {
        let (listen, operators) = (of.listen.to_string(), of.operators.to_string());
        first.run(&["members", "add", number, &listen, &operators])
    };
    assert_eq!(add("2", &second).0, 0);
    let votes = || {
        let members = first.run_json(&["members"])["members"].clone();
        members.as_array().unwrap().iter().filter(|it| it["votes"] == true && it["here"] == true).count()
    };
    wait_until("both vote", || votes() == 2);
    let number = first.publish("limits { max_open: 21 }", &[]);
    wait_until("the second holds it", || second.run_json(&["list"])[0]["version"] == number);
    let third = of(3, true, "n0");
    wait_until("it is added, though it is never spoken to", || {
        let (code, _, why) = add("3", &third);
        code == 0 || why.contains("is there already")
    });
    wait_until("its certificate is not believed", || first.log().contains("not valid for name"));
    assert_eq!(votes(), 2);
    assert_eq!(first.publish("limits { max_open: 22 }", &[]), number + 1, "and it holds nothing up");
}
