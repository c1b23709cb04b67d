//! Errors in a file, each with the problem and a suggestion.

/// An error in a file, displayed as `file:line: problem; suggestion`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
#[error("{file}{}: {problem}; {suggestion}", line_suffix(*.line))]
pub struct Diagnostic {
    /// The file's name, as the caller gave it.
    pub file: String,
    /// The line, counted from 1; 0 if the error concerns the complete file.
    pub line: usize,
    /// The problem found.
    pub problem: String,
    /// The correction to make.
    pub suggestion: String,
}

fn line_suffix(line: usize) -> String {
    match line {
        0 => String::new(),
        line => format!(":{line}"),
    }
}

/// An error in one line, before the file and the line number are known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct LineError {
    pub problem: String,
    pub suggestion: String,
}

impl LineError {
    pub fn new(problem: impl Into<String>, suggestion: impl Into<String>) -> LineError {
        LineError { problem: problem.into(), suggestion: suggestion.into() }
    }

    pub fn at(self, file: &str, line: usize) -> Diagnostic {
        Diagnostic { file: file.into(), line, problem: self.problem, suggestion: self.suggestion }
    }
}

/// Returns a [`LineError`] as the error of any result.
pub(crate) fn line_error<T>(
    problem: impl Into<String>,
    suggestion: impl Into<String>,
) -> Result<T, LineError> {
    Err(LineError::new(problem, suggestion))
}

/// An error that concerns several lines, with the line to report; 0 for the complete file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct FileError {
    pub line: usize,
    pub error: LineError,
}

impl FileError {
    pub fn new(line: usize, problem: impl Into<String>, suggestion: impl Into<String>) -> FileError {
        FileError { line, error: LineError::new(problem, suggestion) }
    }

    pub fn at(self, file: &str) -> Diagnostic {
        self.error.at(file, self.line)
    }
}
