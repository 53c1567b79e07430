//! What a statement carries: the fields in the comment ahead of it, and the group of tables it names.

/// The fields of one request, in the buffer that they were read into.
#[derive(Debug, Default, PartialEq)]
pub struct RequestFields<'a> {
    /// The class.
    pub method: &'a str,
    /// The request's id.
    pub rid: &'a str,
    /// Milliseconds that the client waits.
    pub budget: f64,
    /// The tenant, if one is named.
    pub acct: Option<&'a str>,
    /// Estimated work, in milliseconds on one core; 0 if none is given.
    pub est: f64,
    /// Estimated memory, in MB; 0 if none is given.
    pub space: f64,
}

/// The longest time that a client may wait, in milliseconds.
const MAX_BUDGET_MS: f64 = 3_600_000.0;

/// The most work, in milliseconds, and the most memory, in MB, that an estimate may name: more is no estimate.
const MAX_ESTIMATE: f64 = 1e9;

/// Takes the comment off a query: its fields and the statement behind it.
pub fn parse(query: &[u8]) -> Result<(RequestFields<'_>, &[u8]), String> {
    let query = query.trim_ascii_start();
    let comment =
        query.strip_prefix(b"/*").ok_or("a comment with the fields must stand ahead of the statement")?;
    let end = comment
        .windows(2)
        .position(|pair| pair == b"*/")
        .ok_or("the comment with the fields does not end")?;
    let statement = comment[end + 2..].trim_ascii_start();
    let text = std::str::from_utf8(&comment[..end]).map_err(|_| "the fields are not UTF-8")?;
    let (mut fields, mut has_budget) = (RequestFields::default(), false);
    for pair in text.split(',').map(str::trim).filter(|pair| !pair.is_empty()) {
        let (name, value) = pair.split_once('=').ok_or_else(|| format!("'{pair}' is no name=value pair"))?;
        let number = || match value.parse::<f64>() {
            Ok(number) if (0.0..=MAX_ESTIMATE).contains(&number) => Ok(number),
            _ => Err(format!("field '{name}' is '{value}', not a number from 0 to {MAX_ESTIMATE}")),
        };
        match name {
            "method" => fields.method = value,
            "rid" => fields.rid = value,
            "budget" => (fields.budget, has_budget) = (number()?, true),
            "acct" => fields.acct = Some(value),
            "est" => fields.est = number()?,
            "space" => fields.space = number()?,
            // Other fields may come with later clients.
            _ => {}
        }
    }
    let id = fields.rid.len() == 16 && fields.rid.bytes().all(|byte| byte.is_ascii_hexdigit());
    if !id {
        return Err(format!("field 'rid' is '{}', not 16 hex digits", fields.rid));
    }
    if !has_budget || fields.budget <= 0.0 || fields.budget > MAX_BUDGET_MS {
        return Err("field 'budget' must be a time above 0".into());
    }
    if statement.is_empty() {
        return Err("the statement is empty".into());
    }
    // What no database can read would cost the connection, and all else that is open on it.
    if std::str::from_utf8(statement).is_err() {
        return Err("the statement is not UTF-8".into());
    }
    Ok((fields, statement))
}

/// The number of the group of tables that a statement reads or writes: the one behind the last underscore of the
/// schema. Strings, comments and the schema `staging` do not count; a schema behind a word that a table
/// follows counts more than one elsewhere.
pub fn table_group(statement: &[u8]) -> Option<u64> {
    let mut scanner = NameScanner { text: statement, at: 0 };
    let (mut found, mut after_word) = (None, false);
    while let Some(name) = scanner.next_name() {
        let schema = scanner.text.get(scanner.at) == Some(&b'.');
        let group = schema.then(|| group_of(name)).flatten();
        if after_word && group.is_some() {
            return group;
        }
        found = found.or(group);
        let words: [&[u8]; 5] = [b"from", b"into", b"update", b"join", b"table"];
        after_word = words.iter().any(|word| name.eq_ignore_ascii_case(word));
    }
    found
}

fn group_of(schema: &[u8]) -> Option<u64> {
    let underscore = schema.iter().rposition(|byte| *byte == b'_')?;
    let (name, number) = (&schema[..underscore], &schema[underscore + 1..]);
    if name.eq_ignore_ascii_case(b"staging") || number.is_empty() || !number.iter().all(u8::is_ascii_digit) {
        return None;
    }
    std::str::from_utf8(number).ok()?.parse().ok()
}

/// Walks over a statement from name to name.
struct NameScanner<'a> {
    text: &'a [u8],
    at: usize,
}

impl<'a> NameScanner<'a> {
    /// The next name outside strings and comments; `at` then stands behind it.
    fn next_name(&mut self) -> Option<&'a [u8]> {
        loop {
            let rest = &self.text[self.at..];
            match *rest {
                [] => return None,
                [b'-', b'-', ..] => self.skip_past(0, b"\n"),
                [b'/', b'*', ..] => self.skip_comment(),
                [b'\'', ..] => self.skip_past(1, b"'"),
                [b'e' | b'E', b'\'', ..] => self.skip_escaped(),
                [b'$', ..] => self.skip_dollars(),
                [b'"', ..] => {
                    let name = &rest[1..];
                    let length = name.iter().position(|byte| *byte == b'"').unwrap_or(name.len());
                    self.at = (self.at + length + 2).min(self.text.len());
                    return Some(&name[..length]);
                }
                [first, ..] if is_name(first) => {
                    let length = rest.iter().position(|byte| !is_name(*byte)).unwrap_or(rest.len());
                    self.at += length;
                    // A number is no name.
                    if !first.is_ascii_digit() {
                        return Some(&rest[..length]);
                    }
                }
                _ => self.at += 1,
            }
        }
    }

    fn skip_past(&mut self, from: usize, end: &[u8]) {
        let start = self.at + from;
        let found = self.text[start..].windows(end.len()).position(|part| part == end);
        self.at = found.map_or(self.text.len(), |at| start + at + end.len());
    }

    /// Comments nest in PostgreSQL.
    fn skip_comment(&mut self) {
        let mut depth = 0;
        while self.at < self.text.len() {
            match self.text[self.at..] {
                [b'/', b'*', ..] => (depth, self.at) = (depth + 1, self.at + 2),
                [b'*', b'/', ..] => (depth, self.at) = (depth - 1, self.at + 2),
                _ => self.at += 1,
            }
            if depth == 0 {
                return;
            }
        }
    }

    /// A string in which a backslash guards the next byte.
    fn skip_escaped(&mut self) {
        self.at += 2;
        while self.at < self.text.len() {
            match self.text[self.at] {
                b'\\' => self.at += 2,
                b'\'' => {
                    self.at += 1;
                    return;
                }
                _ => self.at += 1,
            }
        }
        self.at = self.text.len();
    }

    /// A string between dollar signs, as in `$tag$...$tag$`.
    fn skip_dollars(&mut self) {
        let rest = &self.text[self.at..];
        let tag = rest[1..].iter().position(|byte| !is_name(*byte) || *byte == b'$');
        match tag {
            Some(length) if rest[length + 1] == b'$' => {
                let tag = &rest[..length + 2];
                self.skip_past(tag.len(), tag);
            }
            _ => self.at += 1,
        }
    }
}

fn is_name(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || byte == b'_' || byte >= 0x80
}
