//! What is wrong with a file, and what would be right.

/// One fault in a file, as `file:line: problem; suggestion`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
#[error("{file}{}: {problem}; {suggestion}", line_suffix(*.line))]
pub struct Diagnostic {
    /// The file, as its reader named it.
    pub file: String,
    /// From 1 on; 0 where the fault is of the file as a whole.
    pub line: usize,
    /// What is wrong.
    pub problem: String,
    /// What would be right.
    pub suggestion: String,
}

fn line_suffix(line: usize) -> String {
    match line {
        0 => String::new(),
        line => format!(":{line}"),
    }
}

/// What is wrong with one line, before it is known which file and line that is.
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

/// Short for an error in place of any value.
pub(crate) fn line_error<T>(
    problem: impl Into<String>,
    suggestion: impl Into<String>,
) -> Result<T, LineError> {
    Err(LineError::new(problem, suggestion))
}

/// What is wrong between several lines, with the line to name; 0 for the file as a whole.
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
