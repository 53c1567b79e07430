//! TLS key files: errors name the file, changed files are reloaded, and a certificate is checked for its
//! name.

use std::fs::{self, File};
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use gaugestep_control_plane::transport::tls::{
    ClientTls, TlsFiles, certificate_is_valid_for, check_address_allowed, is_address_allowed,
};
use rcgen::{BasicConstraints, Certificate, CertificateParams, IsCa, KeyPair};
use tempfile::TempDir;

/// A self-signed certificate, which is its own authority.
struct Identity {
    certificate: Certificate,
    key: KeyPair,
}

impl Identity {
    fn new(name: &str) -> Self {
        let key = KeyPair::generate().expect("a key can be generated");
        let mut params = CertificateParams::new(vec![name.to_owned()]).expect("the name is valid");
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let certificate = params.self_signed(&key).expect("the key can sign");
        Identity { certificate, key }
    }

    /// Writes the three files with a modification time of `age` seconds ago. Distinct ages make a change
    /// detectable where the file system has coarse timestamps.
    fn write(&self, directory: &Path, age: u64) -> TlsFiles {
        let file = |name: &str, content: &str| {
            let path = directory.join(name);
            fs::write(&path, content).expect("the file can be written");
            set_age(&path, age);
            path
        };
        TlsFiles {
            certificate: file("certificate.pem", &self.certificate.pem()),
            key: file("key.pem", &self.key.serialize_pem()),
            authority: file("authority.pem", &self.certificate.pem()),
        }
    }
}

fn set_age(path: &Path, seconds: u64) {
    let modified = SystemTime::now() - Duration::from_secs(seconds);
    let file = File::options().write(true).open(path).expect("the file can be opened");
    file.set_modified(modified).expect("the file's time can be set");
}

fn fault(files: TlsFiles) -> String {
    ClientTls::load(files).err().expect("the keys have a fault").to_string()
}

#[test]
fn an_error_names_the_file() {
    let directory = TempDir::new().unwrap();
    let files = Identity::new("proxy").write(directory.path(), 0);
    assert!(ClientTls::load(files.clone()).is_ok());

    let missing = directory.path().join("missing.pem");
    let expected = format!("{}: ", missing.display());
    assert!(fault(TlsFiles { authority: missing.clone(), ..files.clone() }).starts_with(&expected));
    assert!(fault(TlsFiles { key: missing.clone(), ..files.clone() }).starts_with(&expected));
    assert!(fault(TlsFiles { certificate: missing, ..files.clone() }).starts_with(&expected));

    fs::write(&files.authority, "").unwrap();
    let expected = format!("{}: holds no certificate", files.authority.display());
    assert_eq!(fault(files), expected);
}

#[test]
fn a_key_of_another_certificate_is_rejected() {
    let directory = TempDir::new().unwrap();
    let files = Identity::new("proxy").write(directory.path(), 0);
    fs::write(&files.key, KeyPair::generate().unwrap().serialize_pem()).unwrap();
    assert!(ClientTls::load(files).is_err());
}

#[test]
fn changed_files_are_reloaded_and_invalid_ones_leave_the_previous_keys_in_use() {
    let directory = TempDir::new().unwrap();
    let files = Identity::new("proxy").write(directory.path(), 30);
    let tls = ClientTls::load(files.clone()).unwrap();
    let first = tls.current();
    tls.reload_if_changed();
    assert!(Arc::ptr_eq(&first, &tls.current()), "nothing has changed");

    Identity::new("proxy").write(directory.path(), 20);
    tls.reload_if_changed();
    let second = tls.current();
    assert!(!Arc::ptr_eq(&first, &second), "the new keys are loaded");

    fs::write(&files.key, "no key").unwrap();
    set_age(&files.key, 10);
    tls.reload_if_changed();
    assert!(Arc::ptr_eq(&second, &tls.current()), "the previous keys stay in use");

    Identity::new("proxy").write(directory.path(), 5);
    tls.reload_if_changed();
    assert!(!Arc::ptr_eq(&second, &tls.current()), "keys are reloaded once they are valid again");
}

#[test]
fn a_certificate_is_valid_for_its_own_name_only() {
    let identity = Identity::new("control.test");
    let certificate = identity.certificate.der();
    assert!(certificate_is_valid_for(certificate, "control.test"));
    assert!(!certificate_is_valid_for(certificate, "other.test"));
    assert!(!certificate_is_valid_for(certificate, "no name at all"));
}

#[test]
fn without_keys_only_loopback_addresses_are_allowed() {
    let [loopback, distant] = ["127.0.0.1:1", "192.0.2.1:1"].map(|address| address.parse().unwrap());
    assert!(check_address_allowed(loopback, false).is_ok());
    assert!(check_address_allowed(distant, true).is_ok());
    assert!(check_address_allowed(distant, false).is_err());
    assert!(is_address_allowed("[::1]:1", false) && !is_address_allowed("192.0.2.1:1", false));
    assert!(!is_address_allowed("no address", true));
}
