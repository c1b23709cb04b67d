//! Lines as words: blanks part them, `"` keeps blanks together, `#` begins a comment where a word would begin.

/// The words of a line; an error says what is wrong with it.
pub fn split(line: &str) -> Result<Vec<String>, &'static str> {
    let mut words = Vec::new();
    let mut chars = line.chars().peekable();
    while let Some(first) = chars.next() {
        if first.is_whitespace() {
            continue;
        }
        if first == '#' {
            break;
        }
        let mut word = String::new();
        if first == '"' {
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
        } else {
            word.push(first);
            while let Some(c) = chars.next_if(|c| !c.is_whitespace()) {
                if c == '"' {
                    return Err("a quotation mark stands inside a word");
                }
                word.push(c);
            }
        }
        words.push(word);
    }
    Ok(words)
}
