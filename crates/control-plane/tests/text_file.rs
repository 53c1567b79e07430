//! Reading of files in protobuf text format, and the errors for invalid ones.

use std::path::Path;

use gaugestep_config::schema::Service;
use gaugestep_control_plane::read_text_file;

#[test]
fn a_message_is_read_from_a_file() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("control.textproto");
    std::fs::write(&path, "listen: \"127.0.0.1:1\"").unwrap();
    assert_eq!(read_text_file::<Service>("Service", &path).unwrap().listen, "127.0.0.1:1");
}

#[test]
fn an_error_names_the_file_and_the_cause_on_one_line() {
    let missing = read_text_file::<Service>("Service", Path::new("no/such/file")).unwrap_err();
    assert_eq!(missing.to_string(), "no/such/file: No such file or directory (os error 2)");
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("control.textproto");
    std::fs::write(&path, "colour: 3").unwrap();
    let line = read_text_file::<Service>("Service", &path).unwrap_err().to_string();
    assert!(line.starts_with(&format!("{}: ", path.display())) && line.contains("colour"), "{line}");
    assert!(!line.contains('\n'), "{line}");
}
