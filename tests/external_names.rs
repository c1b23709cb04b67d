//! Each name in `docs/external-names.txt` still stands in the source: as part of a string, as a field of a log line, or as a
//! field, variant or option of a type that is serialised or parsed under its own names. A rename in the code that would change
//! the wire, a file, a setting or a log fails here.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::{Path, PathBuf};

/// Derives whose types are written out or read under the names of their fields and variants.
const EXTERNAL_DERIVES: [&str; 8] =
    ["Serialize", "Deserialize", "Message", "Oneof", "Parser", "Args", "Subcommand", "ValueEnum"];

/// Folders of a package that hold no part of its programs.
const NOT_SOURCE: [&str; 3] = ["tests", "benches", "examples"];

#[derive(Default)]
struct Source {
    /// All string literals and all arguments of log macros, with separators between them.
    text: String,
    /// Names that derives write out or read.
    derived: BTreeSet<String>,
}

impl Source {
    fn add(&mut self, path: &Path) {
        let code = fs::read_to_string(path).unwrap();
        let (blanked, literals) = separate_literals(&code);
        for literal in literals {
            self.text.push('\n');
            self.text.push_str(&literal);
        }
        for (at, _) in blanked.match_indices("tracing::") {
            let arguments = blanked[at..].find('(').map(|open| enclosed(&blanked[at + open..], '(', ')'));
            self.text.push('\n');
            self.text.push_str(arguments.unwrap_or(""));
        }
        for (at, _) in blanked.match_indices("#[derive(") {
            let derives = enclosed(&blanked[at + "#[derive".len()..], '(', ')');
            if EXTERNAL_DERIVES.iter().any(|derive| derives.contains(derive)) {
                self.derived.extend(member_names(body_after(&blanked[at..])));
            }
        }
    }

    fn has(&self, name: &str) -> bool {
        self.derived.contains(name) || stands_alone(&self.text, name)
    }
}

fn is_name_char(c: char) -> bool {
    c.is_ascii_alphanumeric() || "_-".contains(c)
}

/// Whether the name stands in the text, not as a part of a longer name.
fn stands_alone(text: &str, name: &str) -> bool {
    text.match_indices(name).any(|(at, _)| {
        let joins_before = name.starts_with(is_name_char) && text[..at].ends_with(is_name_char);
        let joins_after = name.ends_with(is_name_char) && text[at + name.len()..].starts_with(is_name_char);
        !joins_before && !joins_after
    })
}

/// The code with comments and the contents of string literals blanked, and those contents.
fn separate_literals(code: &str) -> (String, Vec<String>) {
    let (mut blanked, mut literals) = (String::new(), Vec::new());
    let mut rest = code;
    while let Some(first) = rest.chars().next() {
        if rest.starts_with("//") {
            rest = &rest[rest.find('\n').unwrap_or(rest.len())..];
        } else if let Some(end) = raw_literal_end(rest) {
            literals.push(rest[..end].into());
            blanked.push_str("\"\"");
            rest = &rest[end..];
        } else if first == '"' {
            let end = quoted_end(rest);
            literals.push(rest[1..end - 1].replace("\\\"", "\"").replace("\\n", "\n").replace("\\r", "\r"));
            blanked.push_str("\"\"");
            rest = &rest[end..];
        } else if let Some(end) = char_literal_end(rest) {
            rest = &rest[end..];
        } else {
            blanked.push(first);
            rest = &rest[first.len_utf8()..];
        }
    }
    (blanked, literals)
}

/// Returns the end of the raw string that begins the text, if the text begins with one.
fn raw_literal_end(text: &str) -> Option<usize> {
    let hashes = text.strip_prefix('r')?.chars().take_while(|c| *c == '#').count();
    let open = 1 + hashes;
    text[open..].strip_prefix('"')?;
    let close = format!("\"{}", "#".repeat(hashes));
    Some(open + 1 + text[open + 1..].find(&close)? + close.len())
}

/// Returns the end of the string that begins the text.
fn quoted_end(text: &str) -> usize {
    let mut is_escaped = false;
    for (at, c) in text.char_indices().skip(1) {
        match c {
            _ if is_escaped => is_escaped = false,
            '\\' => is_escaped = true,
            '"' => return at + 1,
            _ => {}
        }
    }
    text.len()
}

/// Returns the end of the character literal that begins the text; `None` if the text begins with a lifetime.
fn char_literal_end(text: &str) -> Option<usize> {
    let inner = text.strip_prefix('\'')?;
    let close =
        if inner.starts_with('\\') { 2 + inner[2..].find('\'')? } else { inner.chars().next()?.len_utf8() };
    inner[close..].starts_with('\'').then_some(close + 2)
}

/// Returns the text between the first opening character and the one that closes it.
fn enclosed(text: &str, open: char, close: char) -> &str {
    let Some(start) = text.find(open) else { return "" };
    let mut depth = 0;
    for (at, c) in text[start..].char_indices() {
        depth += i32::from(c == open) - i32::from(c == close);
        if depth == 0 {
            return &text[start + 1..start + at];
        }
    }
    ""
}

/// The fields or variants of the type that follows a derive; nothing for a type without braces.
fn body_after(code: &str) -> &str {
    let keyword = ["struct ", "enum "].into_iter().filter_map(|keyword| code.find(keyword)).min();
    let item = &code[keyword.unwrap_or(code.len())..];
    match item.find(['{', ';']) {
        Some(at) if item[at..].starts_with('{') => enclosed(item, '{', '}'),
        _ => "",
    }
}

/// Each field and variant, as written, as clap and serde spell it, and as an option.
fn member_names(body: &str) -> Vec<String> {
    let words =
        body.split(|c: char| !(c.is_ascii_alphanumeric() || c == '_')).filter(|word| !word.is_empty());
    let mut names = Vec::new();
    for word in words {
        let word = word.trim_start_matches('_');
        let kebab = kebab_case(word);
        names.extend([word.to_string(), kebab.replace('-', "_"), format!("--{kebab}"), kebab]);
    }
    names
}

fn kebab_case(word: &str) -> String {
    let mut out = String::new();
    for c in word.chars() {
        if c.is_ascii_uppercase() && !out.is_empty() {
            out.push('-');
        }
        out.push(if c == '_' { '-' } else { c.to_ascii_lowercase() });
    }
    out
}

fn source_files(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        let name = path.file_name().unwrap().to_str().unwrap().to_string();
        if path.is_dir() && !NOT_SOURCE.contains(&name.as_str()) {
            source_files(&path, found);
        } else if name.ends_with(".rs") {
            found.push(path);
        }
    }
}

#[test]
fn each_external_name_stands_in_the_source() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let list = fs::read_to_string(root.join("docs/external-names.txt")).unwrap();
    let mut sources: BTreeMap<&str, Source> = BTreeMap::new();
    let (mut part, mut missing, mut looked_for) = ("", Vec::new(), 0);
    for line in list.lines() {
        if let Some(heading) = line.strip_prefix("## ") {
            part = heading;
            let folders = heading.split_once(" | ").expect("a part names its folders").1;
            let mut files = Vec::new();
            folders.split(' ').for_each(|folder| source_files(&root.join(folder), &mut files));
            let source = sources.entry(part).or_default();
            files.iter().for_each(|file| source.add(file));
        } else if !line.is_empty() && !line.starts_with('#') {
            looked_for += 1;
            if !sources[part].has(line) {
                missing.push(format!("{part}: {line}"));
            }
        }
    }
    assert!(missing.is_empty(), "not in the source any more:\n{}", missing.join("\n"));
    assert!(looked_for > 500, "the list has {looked_for} names");
}

#[test]
fn a_name_within_a_longer_one_does_not_count() {
    assert!(stands_alone("{\"until-ns\":1}", "until-ns"));
    assert!(!stands_alone("{\"until-ns\":1}", "until"));
    assert!(!stands_alone("warmth", "warm"));
    assert!(stands_alone("refused: another user", "refused: "));
}

#[test]
fn literals_log_fields_and_derived_members_are_found() {
    let code = "// \"comment\"\nlet a = \"li\\\"teral\"; let c = '\"'; let r = r#\"ra\"w\"#;\n\
                #[derive(Debug, clap::Args)] struct Given { /// words\n log_file: u8 }\n\
                struct Inner { hidden: u8 }\ntracing::warn!(part = \"x\", in_hand, \"words {}\", f(a));";
    let path = std::env::temp_dir().join(format!("external-names-{}.rs", std::process::id()));
    fs::write(&path, code).unwrap();
    let mut source = Source::default();
    source.add(&path);
    fs::remove_file(&path).unwrap();
    for name in ["li\"teral", "ra\"w", "--log-file", "log_file", "in_hand", "words {}", "part"] {
        assert!(source.has(name), "{name}");
    }
    for name in ["comment", "hidden", "Inner"] {
        assert!(!source.has(name), "{name}");
    }
}
