//! A parsed file with the positions of its values.

use jsonc_parser::CollectOptions;
use jsonc_parser::ParseOptions;
use jsonc_parser::ast::Value;
use jsonc_parser::common::Range;
use jsonc_parser::common::Ranged;
use jsonc_parser::parse_to_ast;

use crate::faults::Fault;

/// `Source` is the text of a file with its syntax tree.
pub struct Source<'a> {
    text: &'a str,
    root: Value<'a>,
}

impl<'a> Source<'a> {
    /// Parses `text`.
    ///
    /// # Errors
    ///
    /// The first syntax error of `text`.
    pub fn parse(text: &'a str) -> Result<Self, Fault> {
        let options = ParseOptions {
            allow_comments: true,
            allow_loose_object_property_names: false,
            allow_trailing_commas: true,
        };
        let parsed = parse_to_ast(text, &CollectOptions::default(), &options);
        let parsed = parsed.map_err(|e| Fault {
            line: e.line_display(),
            column: e.column_display(),
            text: e.kind().to_string(),
        })?;
        let root = parsed.value.ok_or_else(|| Fault {
            line: 1,
            column: 1,
            text: "the file is empty".into(),
        })?;
        Ok(Self { text, root })
    }

    /// Returns the outermost value.
    pub fn root(&self) -> &Value<'a> {
        &self.root
    }

    /// Creates a fault with the position of the start of `range`.
    pub fn fault(&self, range: Range, text: impl Into<String>) -> Fault {
        let before = &self.text[..range.start.min(self.text.len())];
        let line_start = before.rfind('\n').map_or(0, |at| at + 1);
        Fault {
            line: before.matches('\n').count() + 1,
            column: before[line_start..].chars().count() + 1,
            text: text.into(),
        }
    }

    /// Creates a fault with the position of the value at `path`, such as
    /// `backend_servers[3].model`, or of the innermost existing value that encloses it.
    pub fn fault_at(&self, path: &str, text: impl Into<String>) -> Fault {
        let mut at = &self.root;
        let steps = path
            .split(['.', '['])
            .map(|step| step.trim_end_matches(']'));
        for step in steps {
            let next = match at {
                Value::Object(object) => object.get(step).map(|prop| &prop.value),
                Value::Array(array) => step.parse().ok().and_then(|i: usize| array.elements.get(i)),
                _ => None,
            };
            let Some(next) = next else {
                break;
            };
            at = next;
        }
        self.fault(at.range(), format!("{path}: {}", text.into()))
    }

    /// Converts the file to a JSON value of serde.
    pub fn value(self) -> serde_json::Value {
        self.root.into()
    }
}
