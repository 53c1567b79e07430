//! Formatting of an error and its sources as one line.

use gaugestep_control_plane::error_line;

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
fn sources_are_appended_after_colons_without_repetition() {
    assert_eq!(error_line(&Outer::Source(Inner)), "the outer error: the inner error");
    assert_eq!(error_line(&Outer::Repeated(Inner)), "the outer error says the inner error by itself");
    assert_eq!(error_line(&Outer::Transparent(Inner)), "the inner error");
}
