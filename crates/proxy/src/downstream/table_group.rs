//! Finds the group of tables that a statement reads or writes, without parsing the statement in full.

/// SQL keywords that precede a table name.
const TABLE_KEYWORDS: [&[u8]; 5] = [b"from", b"into", b"update", b"join", b"table"];

/// The schema name whose number is not a table group.
const STAGING_SCHEMA: &[u8] = b"staging";

/// Returns the number of the table group that a statement reads or writes: the digits after the last
/// underscore of a schema name, as in `sales_12.orders`. Returns `None` if the statement names no group.
///
/// String literals, comments and the schema `staging` are ignored. The first schema after a keyword such as
/// `FROM` takes precedence over schemas elsewhere.
pub fn table_group(statement: &[u8]) -> Option<u64> {
    let mut scanner = IdentifierScanner { text: statement, position: 0 };
    let mut first_group = None;
    let mut after_keyword = false;
    while let Some(identifier) = scanner.next_identifier() {
        let is_schema = scanner.text.get(scanner.position) == Some(&b'.');
        let group = is_schema.then(|| schema_group(identifier)).flatten();
        if after_keyword && group.is_some() {
            return group;
        }
        first_group = first_group.or(group);
        after_keyword = TABLE_KEYWORDS.iter().any(|keyword| identifier.eq_ignore_ascii_case(keyword));
    }
    first_group
}

/// Returns the table group of a schema name such as `sales_12`, or `None` if it has none.
fn schema_group(schema: &[u8]) -> Option<u64> {
    let underscore = schema.iter().rposition(|byte| *byte == b'_')?;
    let (name, number) = (&schema[..underscore], &schema[underscore + 1..]);
    let is_number = !number.is_empty() && number.iter().all(u8::is_ascii_digit);
    if name.eq_ignore_ascii_case(STAGING_SCHEMA) || !is_number {
        return None;
    }
    std::str::from_utf8(number).ok()?.parse().ok()
}

/// Iterates over the keywords and identifiers of a statement, by the lexical rules of PostgreSQL.
struct IdentifierScanner<'a> {
    text: &'a [u8],
    position: usize,
}

impl<'a> IdentifierScanner<'a> {
    /// Returns the next keyword or identifier outside string literals and comments, and moves `position`
    /// past it.
    fn next_identifier(&mut self) -> Option<&'a [u8]> {
        loop {
            let rest = &self.text[self.position..];
            match *rest {
                [] => return None,
                [b'-', b'-', ..] => self.skip_past(0, b"\n"),
                [b'/', b'*', ..] => self.skip_block_comment(),
                [b'\'', ..] => self.skip_past(1, b"'"),
                [b'e' | b'E', b'\'', ..] => self.skip_escape_string(),
                [b'$', ..] => self.skip_dollar_quoted_string(),
                [b'"', ..] => return Some(self.read_quoted_identifier()),
                [first, ..] if is_identifier_byte(first) => {
                    let end = rest.iter().position(|byte| !is_identifier_byte(*byte));
                    let length = end.unwrap_or(rest.len());
                    self.position += length;
                    let is_number = first.is_ascii_digit();
                    if !is_number {
                        return Some(&rest[..length]);
                    }
                }
                _ => self.position += 1,
            }
        }
    }

    /// Returns the double-quoted identifier at `position`, without its quotes, and moves `position` past it.
    fn read_quoted_identifier(&mut self) -> &'a [u8] {
        let name = &self.text[self.position + 1..];
        let length = name.iter().position(|byte| *byte == b'"').unwrap_or(name.len());
        self.position = (self.position + length + 2).min(self.text.len());
        &name[..length]
    }

    /// Moves `position` past the next occurrence of `end` that starts `offset` bytes from `position` or
    /// later, or to the end of the text if there is none.
    fn skip_past(&mut self, offset: usize, end: &[u8]) {
        let start = self.position + offset;
        let found = self.text[start..].windows(end.len()).position(|part| part == end);
        self.position = found.map_or(self.text.len(), |at| start + at + end.len());
    }

    /// Skips a block comment. In PostgreSQL, block comments can be nested.
    fn skip_block_comment(&mut self) {
        let mut depth = 0;
        while self.position < self.text.len() {
            match self.text[self.position..] {
                [b'/', b'*', ..] => (depth, self.position) = (depth + 1, self.position + 2),
                [b'*', b'/', ..] => (depth, self.position) = (depth - 1, self.position + 2),
                _ => self.position += 1,
            }
            if depth == 0 {
                return;
            }
        }
    }

    /// Skips a string literal in which a backslash escapes the next byte, as in `E'...'`.
    fn skip_escape_string(&mut self) {
        self.position += 2;
        while self.position < self.text.len() {
            match self.text[self.position] {
                b'\\' => self.position += 2,
                b'\'' => {
                    self.position += 1;
                    return;
                }
                _ => self.position += 1,
            }
        }
        self.position = self.text.len();
    }

    /// Skips a dollar-quoted string literal, as in `$tag$...$tag$`, or a single dollar sign that starts none.
    fn skip_dollar_quoted_string(&mut self) {
        let rest = &self.text[self.position..];
        let tag_length = rest[1..].iter().position(|byte| !is_identifier_byte(*byte) || *byte == b'$');
        match tag_length {
            Some(length) if rest[length + 1] == b'$' => {
                let tag = &rest[..length + 2];
                self.skip_past(tag.len(), tag);
            }
            _ => self.position += 1,
        }
    }
}

fn is_identifier_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || byte == b'_' || byte >= 0x80
}

#[cfg(test)]
#[path = "../../tests/unit/table_group.rs"]
mod tests;
