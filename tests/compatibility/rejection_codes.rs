//! The control stream: codes and field paths of the responses of a proxy to versions that it rejects.

use gaugestep_config::schema::{Offer, from_client};
use gaugestep_config::{Document, text, version};

use crate::control::{
    ControlStream, ScriptedControlServer, offer, offer_message, wait_until, write_operator_file,
};
use crate::golden;
use crate::proxy::{Engine, Launch, query};

/// A record of offers with the response to each, in the form of a golden file.
struct Offers {
    stream: ControlStream,
    nonce: u64,
    text: String,
}

impl Offers {
    /// Offers a version and records the response.
    fn offer(&mut self, name: &str, offered: Offer) {
        self.nonce += 1;
        self.stream.send(&offer_message(Offer { nonce: self.nonce, ..offered }));
        let response = loop {
            if let Some(from_client::Said::Answer(response)) = self.stream.next().said {
                break response;
            }
        };
        assert_eq!(response.nonce, self.nonce);
        let recorded = response.refusal.map_or("accepted".into(), |rejection| {
            assert!(!rejection.reason.is_empty() && rejection.reason.lines().count() == 1);
            format!("{} at '{}'", rejection.code, rejection.path)
        });
        self.text += &format!("{name}: {recorded}\n");
    }

    /// Offers a document under the next number.
    fn document(&mut self, document: &str) {
        self.offer(document, offer(100 + self.nonce, 0, document));
    }
}

#[test]
fn rejections_keep_codes_and_paths() {
    let (server, folder) = (ScriptedControlServer::new(), tempfile::tempdir().unwrap());
    let (engine, draining) = (Engine::new(), Engine::new());
    let address = server.0.local_addr().unwrap();
    let operator = Some(write_operator_file(folder.path(), address, &folder.path().join("n0"), ""));
    let both_engines =
        format!("{},{}", engine.list_entry("s-0", "SERVING"), draining.list_entry("s-1", "DRAINING"));
    let first_engine = engine.list_entry("s-0", "SERVING");
    let edit_config = |config: String| config.replace(&first_engine, &both_engines);
    let proxy = Launch { operator, edit_config: &edit_config, ..Launch::new(&[&engine]) }.start();
    let stream = server.accept();
    assert_eq!(stream.hello.protocol, 1);
    let mut offers = Offers { stream, nonce: 0, text: String::new() };

    let valid = || offer(5, 0, "limits { max_open: 50 }");
    offers.offer("no content", Offer { content: None, ..valid() });
    offers.offer("no version", Offer { version: None, ..valid() });
    let mut other_digest = valid();
    other_digest.version.as_mut().unwrap().digest[0] ^= 1;
    offers.offer("another digest", other_digest);
    offers.offer("no term", Offer { term: 0, ..valid() });
    offers.offer("sound", valid());
    offers.offer("the same again", valid());
    let mut older = valid();
    older.version.as_mut().unwrap().number = 4;
    offers.offer("an older one", older);
    let other: Document = text::parse("limits { max_open: 51 }").unwrap();
    offers.offer("the same number for another", Offer { version: Some(version(5, &other)), ..valid() });

    offers.document(r#"routes { name: "a" }"#);
    offers.document(r#"limits { max_open: 0 }"#);
    offers.document(r#"limits { max_open: 2000 }"#);
    offers.document(r#"limits { max_attempts: 9 }"#);
    offers.document(r#"retries { ratio: 0.9 }"#);
    offers.document(r#"retries { free: 100 }"#);
    offers.document(r#"tenants { name: "acme" quota_per_s: 1000 }"#);
    offers.document(r#"tenants { name: "none" quota_per_s: 1 }"#);
    offers.document(r#"classes: "none""#);
    offers.document(r#"proxies: "none""#);
    offers.document(r#"routes { name: "a" classes: "none" targets { cell: 0 } }"#);
    offers.document(r#"routes { name: "a" tenants: "none" targets { cell: 0 } }"#);
    offers.document(r#"routes { name: "a" classes: "lookup" targets { engine: "s-9" } }"#);
    offers.document(r#"routes { name: "a" classes: "lookup" targets { engine: "s-1" } }"#);
    offers.document(r#"routes { name: "a" classes: "lookup" targets { kind: "none" } }"#);
    offers.document(r#"routes { name: "a" classes: "lookup" targets { zone: "none" } }"#);

    let (mut one, mut two) = (proxy.client(), proxy.client());
    one.send(&query("lookup", 1, 60_000));
    two.send(&query("lookup", 2, 60_000));
    wait_until("both requests are open", || proxy.statistic("/outstanding") == Some(2));
    offers.document(r#"limits { max_open: 1 }"#);
    offers.document(r#"classes: "load""#);
    golden::assert_matches("rejections.txt", &offers.text);
}
