//! Versioned configuration over mutual TLS: which certificates are trusted, and keys that change while
//! streams are open.
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

/// A certificate authority.
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

    /// Writes a certificate for this name, signed by the authority, and its key to files.
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

/// Starts a control server with keys, and returns it with the authorities of proxies and operators.
fn start_control_server() -> (ControlServer, Authority, Authority) {
    let (proxies, operators) = (Authority::new("proxies"), Authority::new("operators"));
    (start_control_server_as(&proxies, &operators, "control.test", ""), proxies, operators)
}

/// Starts a control server whose certificate has this name, with further settings in its file.
fn start_control_server_as(
    proxies: &Authority,
    operators: &Authority,
    name: &str,
    further_settings: &str,
) -> ControlServer {
    let folder = tempfile::tempdir().unwrap();
    proxies.write(folder.path(), "proxies");
    operators.write(folder.path(), "operators");
    proxies.sign(folder.path(), "service", name);
    operators.sign(folder.path(), "operator", "anybody");
    let path = |name: &str| folder.path().join(name).display().to_string();
    let settings = format!(
        "{} operators_authority: {:?} {further_settings}",
        keys(folder.path(), "service", "proxies"),
        path("operators.pem")
    );
    let options =
        [("--certificate", "operator.pem"), ("--key", "operator.key"), ("--authority", "proxies.pem")];
    let mut client_arguments: Vec<String> =
        options.iter().flat_map(|(option, file)| [(*option).to_owned(), path(file)]).collect();
    client_arguments.extend(["--service-name".to_owned(), name.to_owned()]);
    ControlServer::with_settings(folder, settings, client_arguments)
}

/// Starts a proxy that uses the certificate and key in the files of this name.
fn start_proxy(control: &ControlServer, state: &tempfile::TempDir, file: &str) -> Proxy {
    let folder = control.folder.path();
    let settings = format!("{} service_name: \"control.test\"", keys(folder, file, "proxies"));
    let file = write_operator_file(folder, control.listen, &state.path().join("n0"), &settings);
    Launch { operator: Some(file), ..Launch::new(&[]) }.start()
}

fn in_force(proxy: &Proxy) -> u64 {
    proxy.statistic("/configuration/version").unwrap()
}

#[test]
fn a_proxy_with_its_own_certificate_connects_and_certificates_are_reloaded_without_dropping_the_stream() {
    let (control, proxies, _) = start_control_server();
    proxies.sign(control.folder.path(), "n0", "n0");
    let state = tempfile::tempdir().unwrap();
    let proxy = start_proxy(&control, &state, "n0");
    let first = control.publish("limits { max_open: 21 }", &[]);
    wait_until("the first version is in force", || in_force(&proxy) == first);
    // Both sides get new keys. Each certificate is replaced after its key, so that the files do not match for
    // a moment.
    proxies.sign(control.folder.path(), "service", "control.test");
    proxies.sign(control.folder.path(), "n0", "n0");
    wait_until("the control server reloads its keys", || control.log().matches("keys reloaded").count() >= 2);
    let second = control.publish("limits { max_open: 22 }", &[]);
    wait_until("the second version is in force", || in_force(&proxy) == second);
    assert_eq!(control.log().matches("proxy connected").count(), 1, "the stream stays open");
    let state = tempfile::tempdir().unwrap();
    let new_proxy = start_proxy(&control, &state, "n0");
    wait_until("a new proxy follows with the new keys", || in_force(&new_proxy) == second);
}

#[test]
fn certificates_of_another_proxy_another_authority_or_another_purpose_are_not_trusted() {
    let (control, proxies, operators) = start_control_server();
    let folder = control.folder.path();
    proxies.sign(folder, "other", "n7");
    operators.sign(folder, "foreign", "n0");
    let number = control.publish("limits { max_open: 21 }", &[]);
    let states: Vec<_> = (0..2).map(|_| tempfile::tempdir().unwrap()).collect();
    let rejected: Vec<Proxy> = ["other", "foreign"]
        .iter()
        .zip(&states)
        .map(|(file, state)| start_proxy(&control, state, file))
        .collect();
    wait_until("the certificate of another proxy is rejected", || {
        control.log().contains("does not carry the name 'n0'")
    });
    // A proxy's certificate is not accepted for an operator.
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
    // An operator without a certificate is not accepted either.
    let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_gaugestep-control"));
    command.args(["list", "--service", &control.operators.to_string()]);
    assert_eq!(command.output().unwrap().status.code(), Some(1));
    let began = Instant::now();
    while began.elapsed() < Duration::from_millis(500) {
        assert!(rejected.iter().all(|proxy| in_force(proxy) == 0));
        std::thread::sleep(Duration::from_millis(20));
    }
    let state = tempfile::tempdir().unwrap();
    let accepted = start_proxy(&control, &state, "n0");
    wait_until("the proxy's own certificate is accepted", || in_force(&accepted) == number);
}

/// Members authenticate each other by the service name in their certificates; a member with a proxy's
/// certificate is not trusted.
#[test]
fn members_of_a_group_trust_only_the_service_name() {
    let (proxies, operators) = (Authority::new("proxies"), Authority::new("operators"));
    let start_member = |number: u32, joins: bool, name: &str| {
        let group = format!("group {{ member: {number} joins: {joins} service_name: \"control.test\" }}");
        start_control_server_as(&proxies, &operators, name, &group)
    };
    let (first, second) = (start_member(1, false, "control.test"), start_member(2, true, "control.test"));
    let add = |number: &str, member: &ControlServer| {
        let (listen, operators) = (member.listen.to_string(), member.operators.to_string());
        first.run(&["members", "add", number, &listen, &operators])
    };
    assert_eq!(add("2", &second).0, 0);
    let votes = || {
        let members = first.run_json(&["members"])["members"].clone();
        let members = members.as_array().unwrap().iter();
        members.filter(|member| member["votes"] == true && member["here"] == true).count()
    };
    wait_until("both members vote", || votes() == 2);
    let number = first.publish("limits { max_open: 21 }", &[]);
    wait_until("the second member stores the version", || second.run_json(&["list"])[0]["version"] == number);
    let third = start_member(3, true, "n0");
    wait_until("the third member is added, although no member connects to it", || {
        let (code, _, error) = add("3", &third);
        code == 0 || error.contains("is there already")
    });
    wait_until("the certificate of the third member is rejected", || {
        first.log().contains("not valid for name")
    });
    assert_eq!(votes(), 2);
    assert_eq!(first.publish("limits { max_open: 22 }", &[]), number + 1, "the group still publishes");
}
