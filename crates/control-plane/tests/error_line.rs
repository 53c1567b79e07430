//! Errors on one line.

use std::path::Path;

use gaugestep_config::schema::Service;
use gaugestep_control_plane::{error_line, read_text_file};

#[derive(Debug, thiserror::Error)]
enum Outer {
    #[error("the outer error")]
    Source(#[source] Inner),
    #[error("the outer error says {0} by itself")]
    Repeated(#[source] Inner),
    #[error(transparent)]
    Transparent(Inner),
}

#[derive(Debug, thiserror::Error)]
#[error("the inner error")]
struct Inner;

#[test]
fn sources_follow_behind_colons_and_are_said_once() {
    assert_eq!(error_line(&Outer::Source(Inner)), "the outer error: the inner error");
    assert_eq!(error_line(&Outer::Repeated(Inner)), "the outer error says the inner error by itself");
    assert_eq!(error_line(&Outer::Transparent(Inner)), "the inner error");
}

#[test]
fn an_error_of_a_file_names_it_and_the_cause() {
    let missing = read_text_file::<Service>("Service", Path::new("no/such/file")).unwrap_err();
    assert_eq!(error_line(&missing), "no/such/file: No such file or directory (os error 2)");
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("control.textproto");
    std::fs::write(&path, "colour: 3").unwrap();
    let line = error_line(&read_text_file::<Service>("Service", &path).unwrap_err());
    assert!(line.starts_with(&format!("{}: ", path.display())) && line.contains("colour"), "{line}");
}
