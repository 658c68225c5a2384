//! Reads a YAML mapping field by field and collects every fault with its line and column.

use {
    camphorweir_wire::code::Code,
    serde::{
        Deserialize, Deserializer,
        de::{IgnoredAny, MapAccess, SeqAccess, Visitor},
    },
    serde_saphyr::{DuplicateKeyPolicy, Location, Spanned, options},
    std::fmt,
};

/// A fault in a settings file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// The result code.
    pub code: Code,
    /// Line, from 1; 0 if the fault has no location.
    pub line: u64,
    /// Column, from 1; 0 if the fault has no location.
    pub column: u64,
    /// The field, such as `limits.body`; empty for the whole file.
    pub field: String,
    /// Description of the fault.
    pub what: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            line,
            column,
            field,
            what,
            ..
        } = self;
        let (number, name) = (self.code.number(), self.code.name());
        write!(f, "{line}:{column}: {number} {name}: ")?;
        match field.is_empty() {
            true => write!(f, "{what}"),
            false => write!(f, "{field}: {what}"),
        }
    }
}

/// A YAML node.
#[derive(Clone, Debug)]
pub enum Node {
    /// A scalar, as text.
    Scalar(String),
    /// A mapping, in the order of the file.
    Map(Vec<(Spanned<String>, Spanned<Node>)>),
    /// A null or an empty document.
    Null,
    /// A sequence, which no field accepts.
    Sequence,
}

impl<'de> Deserialize<'de> for Node {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(NodeVisitor)
    }
}

struct NodeVisitor;

impl<'de> Visitor<'de> for NodeVisitor {
    type Value = Node;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a YAML value")
    }

    fn visit_bool<E>(self, value: bool) -> Result<Node, E> {
        Ok(Node::Scalar(value.to_string()))
    }

    fn visit_i64<E>(self, value: i64) -> Result<Node, E> {
        Ok(Node::Scalar(value.to_string()))
    }

    fn visit_u64<E>(self, value: u64) -> Result<Node, E> {
        Ok(Node::Scalar(value.to_string()))
    }

    fn visit_f64<E>(self, value: f64) -> Result<Node, E> {
        Ok(Node::Scalar(value.to_string()))
    }

    fn visit_str<E>(self, value: &str) -> Result<Node, E> {
        Ok(Node::Scalar(value.to_owned()))
    }

    fn visit_unit<E>(self) -> Result<Node, E> {
        Ok(Node::Null)
    }

    fn visit_none<E>(self) -> Result<Node, E> {
        Ok(Node::Null)
    }

    fn visit_some<D: Deserializer<'de>>(self, deserializer: D) -> Result<Node, D::Error> {
        Node::deserialize(deserializer)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<Node, A::Error> {
        while items.next_element::<IgnoredAny>()?.is_some() {}
        Ok(Node::Sequence)
    }

    fn visit_map<A: MapAccess<'de>>(self, mut items: A) -> Result<Node, A::Error> {
        let mut fields = Vec::new();
        while let Some(name) = items.next_key::<Spanned<String>>()? {
            fields.push((name, items.next_value::<Spanned<Node>>()?));
        }
        Ok(Node::Map(fields))
    }
}

/// A mapping whose fields are removed as they are read.
#[derive(Debug)]
pub struct Mapping {
    path: String,
    location: Location,
    fields: Vec<(Spanned<String>, Spanned<Node>)>,
}

/// Parses a document whose root is a mapping; adds a fault for a duplicate field.
///
/// # Errors
///
/// The fault because of which the document can't be parsed.
pub fn parse_document(text: &str, faults: &mut Vec<Fault>) -> Result<Mapping, Fault> {
    let root = match serde_saphyr::from_str::<Spanned<Node>>(text) {
        Ok(root) => root,
        Err(error) => {
            // Parse again with duplicate fields allowed, to find the other faults as well.
            let options = options! { duplicate_keys: DuplicateKeyPolicy::FirstWins };
            let root = serde_saphyr::from_str_with_options(text, options).map_err(unreadable)?;
            let location = error.location().unwrap_or(Location::UNKNOWN);
            faults.push(fault(location, "", "duplicate field"));
            root
        }
    };
    let location = root.referenced;
    match root.value {
        Node::Map(fields) => Ok(Mapping {
            path: String::new(),
            location,
            fields,
        }),
        _ => Err(fault(location, "", "the file must be a mapping of fields")),
    }
}

impl Mapping {
    /// Reads a required field.
    pub fn required<T>(
        &mut self,
        name: &str,
        parse: impl FnOnce(&str) -> Result<T, String>,
        faults: &mut Vec<Fault>,
    ) -> Option<T> {
        if !self.fields.iter().any(|(field, _)| field.value == name) {
            faults.push(fault(
                self.location,
                &self.field_path(name),
                "required field is missing",
            ));
            return None;
        }
        self.optional(name, parse, faults)
    }

    /// Reads an optional field.
    pub fn optional<T>(
        &mut self,
        name: &str,
        parse: impl FnOnce(&str) -> Result<T, String>,
        faults: &mut Vec<Fault>,
    ) -> Option<T> {
        let node = self.take_field(name)?;
        let result = match &node.value {
            Node::Scalar(text) => parse(text),
            _ => Err("a single value is expected".to_owned()),
        };
        result
            .map_err(|what| faults.push(fault(node.referenced, &self.field_path(name), &what)))
            .ok()
    }

    /// Reads a nested mapping; a missing one counts as empty.
    pub fn mapping(&mut self, name: &str, faults: &mut Vec<Fault>) -> Self {
        let path = self.field_path(name);
        let empty = |location| Self {
            path: path.clone(),
            location,
            fields: Vec::new(),
        };
        let Some(node) = self.take_field(name) else {
            return empty(self.location);
        };
        match node.value {
            Node::Map(fields) => Self {
                path,
                location: node.referenced,
                fields,
            },
            Node::Null => empty(node.referenced),
            _ => {
                faults.push(fault(
                    node.referenced,
                    &path,
                    "a mapping of fields is expected",
                ));
                empty(node.referenced)
            }
        }
    }

    /// Adds a fault for each field that was not read.
    pub fn reject_unknown_fields(self, faults: &mut Vec<Fault>) {
        for (name, _) in &self.fields {
            let field = self.field_path(&name.value);
            faults.push(fault(name.referenced, &field, "unknown field"));
        }
    }

    fn take_field(&mut self, name: &str) -> Option<Spanned<Node>> {
        let has_name = |(field, _): &(Spanned<String>, _)| field.value == name;
        let index = self.fields.iter().position(has_name)?;
        Some(self.fields.remove(index).1)
    }

    fn field_path(&self, name: &str) -> String {
        match self.path.is_empty() {
            true => name.to_owned(),
            false => format!("{}.{name}", self.path),
        }
    }
}

fn fault(location: Location, field: &str, what: &str) -> Fault {
    Fault {
        code: Code::BadSettings,
        line: location.line(),
        column: location.column(),
        field: field.to_owned(),
        what: what.to_owned(),
    }
}

fn unreadable(error: serde_saphyr::Error) -> Fault {
    let location = error.location().unwrap_or(Location::UNKNOWN);
    let text = error.without_snippet().to_string();
    fault(location, "", text.lines().next().unwrap_or("not YAML"))
}
