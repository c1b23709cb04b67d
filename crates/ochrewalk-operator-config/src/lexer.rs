//! Splits lines into words: blanks separate words, `"` quotes a word with blanks, and `#` at the start of a word begins a
//! comment.

use crate::diagnostic::LineError;
use std::iter::Peekable;
use std::str::Chars;

/// The suggestion for a line that cannot be split into words.
const QUOTING_SUGGESTION: &str = "write \"a b\" for a word with a blank";

/// Returns the words of a line; an empty list for a blank line or a comment.
pub(crate) fn split_words(line: &str) -> Result<Vec<String>, LineError> {
    let mut words = Vec::new();
    let mut chars = line.chars().peekable();
    while let Some(first) = chars.next() {
        if first.is_whitespace() {
            continue;
        }
        if first == '#' {
            break;
        }
        let word = match first {
            '"' => quoted_word(&mut chars),
            first => plain_word(first, &mut chars),
        };
        words.push(word.map_err(|problem| LineError::new(problem, QUOTING_SUGGESTION))?);
    }
    Ok(words)
}

fn quoted_word(chars: &mut Peekable<Chars>) -> Result<String, &'static str> {
    let mut word = String::new();
    loop {
        match chars.next() {
            None => return Err("a quotation mark is not closed"),
            Some('"') => break,
            Some('\\') => word.extend(chars.next()),
            Some(c) => word.push(c),
        }
    }
    if chars.peek().is_some_and(|c| !c.is_whitespace()) {
        return Err("a blank has to follow a closing quotation mark");
    }
    Ok(word)
}

fn plain_word(first: char, chars: &mut Peekable<Chars>) -> Result<String, &'static str> {
    let mut word = String::from(first);
    while let Some(c) = chars.next_if(|c| !c.is_whitespace()) {
        if c == '"' {
            return Err("a quotation mark is inside a word");
        }
        word.push(c);
    }
    Ok(word)
}
