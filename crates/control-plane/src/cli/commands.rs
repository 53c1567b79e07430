//! The operators' commands: calls to the service, and what they print.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use crate::cli::admin_client::AdminClient;
use crate::read_text_file;
use crate::transport::tls::TlsFiles;
use clap::Args;
use gaugestep_config::schema::entry::State;
use gaugestep_config::schema::{
    Entry, Fleet, List, Plan, Publish, Rollback, Show, Shown, Status, call, reply,
};
use gaugestep_config::{Document, check, digest, short_digest, text};
use serde_json::{Value, json};

/// Between looks at a rollout.
const LOOK: Duration = Duration::from_millis(200);

/// An exit code, or one plain line that says what went wrong (exit code 1).
pub type Done = Result<u8, String>;

/// How results are printed.
pub struct Out {
    /// For machines.
    pub json: bool,
}

impl Out {
    pub(crate) fn print(&self, value: &Value, words: impl FnOnce() -> String) {
        if self.json {
            println!("{value}");
        } else {
            print!("{}", words());
        }
    }
}

/// How to reach the service.
#[derive(Args)]
pub struct Connect {
    /// The services' addresses for operators, tried in turn.
    #[arg(long, env = "GAUGESTEP_CONTROL", default_value = "127.0.0.1:9401", value_delimiter = ',')]
    service: Vec<SocketAddr>,
    /// The operator's certificate, as a PEM file; with it, TLS is spoken.
    #[arg(long, env = "GAUGESTEP_CERTIFICATE", requires_all = ["key", "authority"])]
    certificate: Option<PathBuf>,
    /// Its key.
    #[arg(long, env = "GAUGESTEP_KEY", requires = "certificate")]
    key: Option<PathBuf>,
    /// Who signs the service's certificate.
    #[arg(long, env = "GAUGESTEP_AUTHORITY", requires = "certificate")]
    authority: Option<PathBuf>,
    /// The name that the service's certificate carries.
    #[arg(long, env = "GAUGESTEP_SERVICE_NAME", default_value = "gaugestep-control")]
    service_name: String,
}

impl Connect {
    pub(crate) fn call(&self, what: call::What) -> Result<reply::What, String> {
        // Whatever else is asked for does no harm if it is done twice: it looks, or names what it replaces.
        let once = matches!(&what, call::What::Publish(it) if it.key.is_empty())
            || matches!(&what, call::What::Rollback(it) if it.key.is_empty())
            || matches!(&what, call::What::HandOver(_));
        let files = match (&self.certificate, &self.key, &self.authority) {
            (Some(certificate), Some(key), Some(authority)) => {
                let (certificate, key, authority) = (certificate.clone(), key.clone(), authority.clone());
                Some((TlsFiles { certificate, key, authority }, self.service_name.clone()))
            }
            _ => None,
        };
        AdminClient { addresses: self.service.clone(), keys: files }.call(&what, !once)
    }

    fn shown(&self, number: u64) -> Result<Shown, String> {
        match self.call(call::What::Show(Show { number }))? {
            reply::What::Shown(shown) => Ok(shown),
            _ => Err(unexpected()),
        }
    }

    fn fleet(&self) -> Result<Fleet, String> {
        match self.call(call::What::Status(Status {}))? {
            reply::What::Fleet(fleet) => Ok(fleet),
            _ => Err(unexpected()),
        }
    }
}

pub(crate) fn unexpected() -> String {
    "the service's reply is to another call".into()
}

/// What `publish` takes.
#[derive(Args)]
pub struct PublishArgs {
    /// The document, as protobuf text format.
    document: PathBuf,
    /// Who publishes it.
    #[arg(long, env = "USER", default_value = "")]
    author: String,
    /// Why.
    #[arg(long, default_value = "")]
    note: String,
    /// Proxies that get it first; 0: all at once.
    #[arg(long, default_value_t = 0)]
    first: u32,
    /// Then this part of all, 0 to 1; 0: no such step.
    #[arg(long, default_value_t = 0.0)]
    share: f64,
    /// Seconds for which a step must hold before the next.
    #[arg(long, default_value_t = 10.0)]
    hold: f64,
    /// Refusals from which the rollout halts.
    #[arg(long, default_value_t = 1)]
    refusals: u32,
    /// How much larger the part of requests not served may be on it, 0 to 1; 0: that is not looked at.
    #[arg(long, default_value_t = 0.0)]
    worse_by: f64,
    /// Refused unless this is the newest version.
    #[arg(long, default_value_t = 0)]
    expect: u64,
    /// Names this publication: given again under its key it does not publish twice. Drawn if none is given.
    #[arg(long, value_name = "KEY", default_value_t = drawn_key())]
    once: String,
}

/// A key that nobody else draws.
pub fn drawn_key() -> String {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    let seed = since.as_nanos() ^ (u128::from(std::process::id()) << 96);
    format!("{:016x}", oorandom::Rand64::new(seed).rand_u64())
}

fn read(path: &Path) -> Result<Document, String> {
    read_text_file("Document", path)
}

/// Says whether a document can be used.
pub fn validate(out: &Out, path: &Path) -> Done {
    let found = match read(path) {
        Err(error) => vec![json!({"code": "unreadable", "path": "", "reason": error})],
        Ok(document) => check::check(&document)
            .iter()
            .map(|it| json!({"code": it.code(), "path": it.path(), "reason": it.to_string()}))
            .collect(),
    };
    let told = json!({"document": path.display().to_string(), "sound": found.is_empty(), "faults": found});
    out.print(&told, || match found.is_empty() {
        true => format!("{}: can be used\n", path.display()),
        false => found.iter().map(|it| format!("{}\n", it["reason"].as_str().unwrap_or_default())).collect(),
    });
    Ok(u8::from(!found.is_empty()))
}

/// Publishes a document.
pub fn publish(out: &Out, connect: &Connect, told: &PublishArgs) -> Done {
    let document = read(&told.document)?;
    if let Some(refusal) = check::check(&document).into_iter().next() {
        return Err(format!("{}: {refusal}", told.document.display()));
    }
    if !(0.0..=1e9).contains(&told.hold) {
        return Err("the seconds to hold must be 0 or more".into());
    }
    let plan = Plan {
        first: told.first,
        share: told.share,
        hold_ms: (told.hold * 1e3) as u64,
        refusals: Some(told.refusals),
        worse_by: told.worse_by,
        least_requests: None,
    };
    let publish = Publish {
        document: Some(document),
        author: told.author.clone(),
        note: told.note.clone(),
        plan: Some(plan),
        expected_newest: told.expect,
        key: told.once.clone(),
    };
    let again = |error| format!("{error} (the same again: --once {})", told.once);
    published(out, connect.call(call::What::Publish(publish)).map_err(again)?)
}

fn published(out: &Out, told: reply::What) -> Done {
    let reply::What::Published(published) = told else { return Err(unexpected()) };
    let version = published.version.unwrap_or_default();
    let digest = short_digest(&version.digest);
    out.print(&json!({"version": version.number, "digest": digest}), || {
        format!("published version {} ({digest})\n", version.number)
    });
    Ok(0)
}

/// Publishes the content of an earlier version.
pub fn rollback(out: &Out, connect: &Connect, to: u64, note: String) -> Done {
    let author = std::env::var("USER").unwrap_or_default();
    let key = drawn_key();
    published(out, connect.call(call::What::Rollback(Rollback { to, author, note, key }))?)
}

fn state(entry: &Entry) -> &'static str {
    match entry.state() {
        State::Rolling => "rolling",
        State::Complete => "complete",
        State::Halted => "halted",
        State::Overtaken => "overtaken",
    }
}

fn told(entry: &Entry) -> Value {
    let version = entry.version.clone().unwrap_or_default();
    json!({
        "version": version.number, "digest": short_digest(&version.digest), "published_ms": entry.published_ms,
        "author": entry.author, "note": entry.note, "rolls_back_to": entry.rolls_back_to, "state": state(entry),
        "halted_for": entry.halted_for,
    })
}

fn line(entry: &Entry) -> String {
    let version = entry.version.clone().unwrap_or_default();
    let why = match (entry.halted_for.as_str(), entry.rolls_back_to) {
        ("", 0) => entry.note.clone(),
        ("", _) => entry.note.clone(),
        (why, _) => format!("halted: {why}"),
    };
    let digest = short_digest(&version.digest);
    format!("{:>6}  {digest}  {:<9}  {:<16}  {why}\n", version.number, state(entry), entry.author)
}

/// Lists versions.
pub fn list(out: &Out, connect: &Connect, most: u32) -> Done {
    let reply::What::Versions(versions) = connect.call(call::What::List(List { most }))? else {
        return Err(unexpected());
    };
    let all: Vec<Value> = versions.entries.iter().map(told).collect();
    out.print(&Value::from(all), || versions.entries.iter().map(line).collect());
    Ok(0)
}

/// Shows a version.
pub fn show(out: &Out, connect: &Connect, version: u64) -> Done {
    let shown = connect.shown(version)?;
    let entry = shown.entry.unwrap_or_default();
    let document = text::print(&shown.document.unwrap_or_default()).map_err(|error| error.to_string())?;
    let mut value = told(&entry);
    value["document"] = document.clone().into();
    out.print(&value, || format!("# {}{document}\n", line(&entry).trim_start()));
    Ok(0)
}

/// Shows what differs between two versions.
pub fn diff(out: &Out, connect: &Connect, from: &str, to: &str) -> Done {
    let read = |which: &str| match which.parse::<u64>() {
        Ok(number) => connect.shown(number).map(|shown| shown.document.unwrap_or_default()),
        Err(_) => read(Path::new(which)),
    };
    let (old, new) = (read(from)?, read(to)?);
    let print = |document| text::print(document).map_err(|error| error.to_string());
    let (old_text, new_text) = (print(&old)?, print(&new)?);
    let differs = digest(&old) != digest(&new);
    let lines = similar::TextDiff::from_lines(&old_text, &new_text);
    let unified = lines.unified_diff().context_radius(3).header(from, to).to_string();
    out.print(&json!({"differs": differs, "diff": unified}), || unified.clone());
    Ok(u8::from(differs))
}

fn proxy_told(fleet: &Fleet, name: Option<&str>) -> Vec<Value> {
    let wanted = |proxy: &&gaugestep_config::schema::Proxy| name.is_none_or(|name| proxy.name == name);
    let told = |proxy: &gaugestep_config::schema::Proxy| {
        let refusal = proxy.refusal.as_ref();
        json!({
            "proxy": proxy.name, "connected": proxy.connected, "build": proxy.build, "in_force": proxy.in_force,
            "offered": proxy.offered, "refused": proxy.refused, "ahead": proxy.ahead, "heard_ms": proxy.heard_ms,
            "refusal": refusal.map(|it| json!({"code": it.code, "path": it.path, "reason": it.reason})),
            "process": format!("{:016x}", proxy.incarnation), "name_term": proxy.name_term,
            "displaced": proxy.displaced, "beyond": proxy.beyond,
        })
    };
    fleet.proxies.iter().filter(wanted).map(told).collect()
}

/// Shows each proxy.
pub fn status(out: &Out, connect: &Connect, name: Option<&str>) -> Done {
    let fleet = connect.fleet()?;
    let proxies = proxy_told(&fleet, name);
    let value = json!({"newest": fleet.newest, "proxies": proxies});
    out.print(&value, || {
        let mut words = format!("newest version: {}\n", fleet.newest);
        for proxy in &proxies {
            let text = |key: &str| proxy[key].as_str().unwrap_or_default().to_owned();
            let number = |key: &str| proxy[key].as_u64().unwrap_or(0);
            let here = if proxy["connected"] == true { "here" } else { "away" };
            words += &format!("{:<24}  {here}  in force {:>6}", text("proxy"), number("in_force"));
            if number("offered") > 0 {
                words += &format!("  offered {}", number("offered"));
            }
            if proxy["ahead"] == true {
                words += "  ahead of this service";
            }
            if proxy["displaced"] == true {
                words += &format!("  its name is another's (process {})", text("process"));
            }
            if number("beyond") > 0 {
                words += &format!("  has seen a later owner, of term {}", number("beyond"));
            }
            if number("refused") > 0 {
                let reason = proxy["refusal"]["reason"].as_str().unwrap_or_default();
                words += &format!("  refused {}: {reason}", number("refused"));
            }
            words.push('\n');
        }
        words
    });
    Ok(u8::from(name.is_some() && proxies.is_empty()))
}

/// Follows a version.
pub fn watch(out: &Out, connect: &Connect, version: u64, within: u64) -> Done {
    let began = Instant::now();
    let number = connect.shown(version)?.entry.and_then(|it| it.version).map_or(0, |version| version.number);
    let mut last = Value::Null;
    loop {
        let (entry, fleet) = (connect.shown(number)?.entry.unwrap_or_default(), connect.fleet()?);
        let here = fleet.proxies.iter().filter(|proxy| proxy.connected && !proxy.displaced);
        let (have, all) = (here.clone().filter(|proxy| proxy.in_force >= number).count(), here.count());
        let refused = fleet.proxies.iter().filter(|proxy| proxy.refused == number).count();
        let value = json!({
            "version": number, "state": state(&entry), "in_force": have, "here": all, "refused": refused,
            "halted_for": entry.halted_for,
        });
        if value != last {
            out.print(&value, || {
                let why = if entry.halted_for.is_empty() {
                    String::new()
                } else {
                    format!(": {}", entry.halted_for)
                };
                format!(
                    "version {number} {}{why}; in force at {have} of {all} proxies, refused by {refused}\n",
                    state(&entry)
                )
            });
            last = value;
        }
        match entry.state() {
            State::Halted | State::Overtaken => return Ok(3),
            State::Complete if have + refused >= all => return Ok(if refused > 0 { 1 } else { 0 }),
            State::Complete | State::Rolling => {}
        }
        if began.elapsed().as_secs() >= within {
            return Ok(4);
        }
        std::thread::sleep(LOOK);
    }
}
