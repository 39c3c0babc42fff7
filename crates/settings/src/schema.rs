//! Schemas of files as static tables, and their validation.

use std::net::SocketAddr;

use jsonc_parser::ast::Object;
use jsonc_parser::ast::Value;
use jsonc_parser::common::Range;
use jsonc_parser::common::Ranged;

use hemlockwind_core::collections::HashSet;

use crate::faults::Fault;
use crate::source::Source;

/// `Kind` is the type of a value, with its bounds.
#[derive(Clone, Copy, Debug)]
pub enum Kind {
    /// A non-empty string.
    Text,
    /// An IP address with a port.
    Address,
    /// A non-negative integer between two bounds, inclusive.
    Integer(u64, u64),
    /// An integer between two bounds, inclusive, which may be negative.
    Signed(i64, i64),
    /// A non-negative finite number.
    Number,
    /// `true` or `false`.
    Boolean,
    /// A list of values of one kind.
    List(&'static Kind),
    /// An object with these keys and no others.
    Object(&'static [Field]),
}

/// `Field` is one key of an object.
#[derive(Clone, Copy, Debug)]
pub struct Field {
    /// The key.
    pub name: &'static str,
    /// The kind of its value.
    pub kind: Kind,
    /// Whether the key is required.
    pub required: bool,
}

/// Returns a required key.
pub const fn required(name: &'static str, kind: Kind) -> Field {
    Field {
        name,
        kind,
        required: true,
    }
}

/// Returns an optional key.
pub const fn optional(name: &'static str, kind: Kind) -> Field {
    Field {
        name,
        kind,
        required: false,
    }
}

/// Validates `source` against `kind`. Returns all faults, in the order of the file.
pub fn check(source: &Source<'_>, kind: Kind) -> Vec<Fault> {
    let mut checker = Checker {
        source,
        faults: Vec::new(),
    };
    checker.value(source.root(), kind);
    checker.faults.sort();
    checker.faults
}

/// `Checker` walks the syntax tree of a file and collects its faults.
struct Checker<'a> {
    source: &'a Source<'a>,
    faults: Vec<Fault>,
}

impl Checker<'_> {
    /// Adds a fault.
    fn fault(&mut self, range: Range, text: impl Into<String>) {
        self.faults.push(self.source.fault(range, text));
    }

    /// Validates a value.
    fn value(&mut self, value: &Value<'_>, kind: Kind) {
        match (kind, value) {
            (Kind::Text, Value::StringLit(text)) => {
                if text.value.is_empty() {
                    self.fault(text.range, "must not be empty");
                }
            }
            (Kind::Address, Value::StringLit(text)) => {
                if text.value.parse::<SocketAddr>().is_err() {
                    self.fault(text.range, "must be an IP address and a port");
                }
            }
            (Kind::Integer(low, high), Value::NumberLit(number)) => {
                let value = number.value.parse::<u64>();
                if !value.is_ok_and(|value| (low..=high).contains(&value)) {
                    let text = format!("must be a whole number between {low} and {high}");
                    self.fault(number.range, text);
                }
            }
            (Kind::Signed(low, high), Value::NumberLit(number)) => {
                let value = number.value.parse::<i64>();
                if !value.is_ok_and(|value| (low..=high).contains(&value)) {
                    let text = format!("must be a whole number between {low} and {high}");
                    self.fault(number.range, text);
                }
            }
            (Kind::Number, Value::NumberLit(number)) => {
                let value = number.value.parse::<f64>();
                if !value.is_ok_and(|value| value >= 0.0 && value.is_finite()) {
                    self.fault(number.range, "must be a number that is not negative");
                }
            }
            (Kind::Boolean, Value::BooleanLit(_)) => {}
            (Kind::List(kind), Value::Array(array)) => {
                for element in &array.elements {
                    self.value(element, *kind);
                }
            }
            (Kind::Object(fields), Value::Object(object)) => self.object(object, fields),
            (kind, value) => self.fault(value.range(), format!("must be {}", describe(kind))),
        }
    }

    /// Validates an object: its keys must be unique and in `fields`, and the required ones
    /// present.
    fn object(&mut self, object: &Object<'_>, fields: &[Field]) {
        let mut seen = HashSet::default();
        for prop in &object.properties {
            let name = prop.name.as_str();
            if !seen.insert(name.to_string()) {
                self.fault(prop.range, format!("duplicate key `{name}`"));
            }
            match fields.iter().find(|field| field.name == name) {
                Some(field) => self.value(&prop.value, field.kind),
                None => {
                    let names: Vec<_> = fields.iter().map(|field| field.name).collect();
                    let names = names.join(", ");
                    self.fault(
                        prop.range,
                        format!("`{name}` is unknown here; known: {names}"),
                    );
                }
            }
        }
        for field in fields.iter().filter(|field| field.required) {
            if !seen.contains(field.name) {
                self.fault(object.range, format!("`{}` is missing", field.name));
            }
        }
    }
}

/// Returns a description of a kind for error texts.
fn describe(kind: Kind) -> &'static str {
    match kind {
        Kind::Text => "a string",
        Kind::Address => "a string with an IP address and a port",
        Kind::Integer(..) | Kind::Signed(..) => "a whole number",
        Kind::Number => "a number",
        Kind::Boolean => "true or false",
        Kind::List(_) => "a list",
        Kind::Object(_) => "an object",
    }
}
