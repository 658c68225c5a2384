//! Reads a YAML mapping field by field and collects every fault with its place.

use {
    camphorweir_wire::code::Code,
    serde::{
        Deserialize, Deserializer,
        de::{IgnoredAny, MapAccess, SeqAccess, Visitor},
    },
    serde_saphyr::{DuplicateKeyPolicy, Location, Spanned, options},
    std::fmt,
};

/// A fault of a file, with its place.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// The numbered result.
    pub code: Code,
    /// Line, from 1; 0 where the fault has no place.
    pub line: u64,
    /// Column, from 1; 0 where the fault has no place.
    pub column: u64,
    /// The field, such as `limits.body`; empty for the whole file.
    pub field: String,
    /// What is wrong.
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
    /// A sequence; no field takes one.
    List,
}

impl<'de> Deserialize<'de> for Node {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(Reader)
    }
}

struct Reader;

impl<'de> Visitor<'de> for Reader {
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
        Ok(Node::List)
    }

    fn visit_map<A: MapAccess<'de>>(self, mut items: A) -> Result<Node, A::Error> {
        let mut fields = Vec::new();
        while let Some(name) = items.next_key::<Spanned<String>>()? {
            fields.push((name, items.next_value::<Spanned<Node>>()?));
        }
        Ok(Node::Map(fields))
    }
}

/// A mapping that is being read.
#[derive(Debug)]
pub struct Group {
    path: String,
    place: Location,
    fields: Vec<(Spanned<String>, Spanned<Node>)>,
}

/// Reads a document whose root is a mapping; a field that is there twice is one more fault.
///
/// # Errors
///
/// The fault for which it can't be read at all.
pub fn read(text: &str, faults: &mut Vec<Fault>) -> Result<Group, Fault> {
    let root = match serde_saphyr::from_str::<Spanned<Node>>(text) {
        Ok(root) => root,
        Err(error) => {
            // Read on past a field that is there twice, to find the other faults as well.
            let options = options! { duplicate_keys: DuplicateKeyPolicy::FirstWins };
            let root = serde_saphyr::from_str_with_options(text, options).map_err(unreadable)?;
            let place = error.location().unwrap_or(Location::UNKNOWN);
            faults.push(fault(place, "", "a field is there twice"));
            root
        }
    };
    let place = root.referenced;
    match root.value {
        Node::Map(fields) => Ok(Group {
            path: String::new(),
            place,
            fields,
        }),
        _ => Err(fault(place, "", "the file must be a mapping of fields")),
    }
}

impl Group {
    /// A field that must be there.
    pub fn required<T>(
        &mut self,
        name: &str,
        parse: impl FnOnce(&str) -> Result<T, String>,
        faults: &mut Vec<Fault>,
    ) -> Option<T> {
        if !self.fields.iter().any(|(field, _)| field.value == name) {
            faults.push(fault(self.place, &self.join(name), "this field is missing"));
            return None;
        }
        self.optional(name, parse, faults)
    }

    /// A field that may be left out.
    pub fn optional<T>(
        &mut self,
        name: &str,
        parse: impl FnOnce(&str) -> Result<T, String>,
        faults: &mut Vec<Fault>,
    ) -> Option<T> {
        let node = self.take(name)?;
        let result = match &node.value {
            Node::Scalar(text) => parse(text),
            _ => Err("a single value is expected".to_owned()),
        };
        result
            .map_err(|what| faults.push(fault(node.referenced, &self.join(name), &what)))
            .ok()
    }

    /// A nested mapping; one that is left out is empty.
    pub fn group(&mut self, name: &str, faults: &mut Vec<Fault>) -> Self {
        let path = self.join(name);
        let empty = |place| Self {
            path: path.clone(),
            place,
            fields: Vec::new(),
        };
        let Some(node) = self.take(name) else {
            return empty(self.place);
        };
        match node.value {
            Node::Map(fields) => Self {
                path,
                place: node.referenced,
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

    /// Every field that was not read is a fault.
    pub fn finish(self, faults: &mut Vec<Fault>) {
        for (name, _) in &self.fields {
            let field = self.join(&name.value);
            faults.push(fault(name.referenced, &field, "there is no such field"));
        }
    }

    fn take(&mut self, name: &str) -> Option<Spanned<Node>> {
        let named = |(field, _): &(Spanned<String>, _)| field.value == name;
        let index = self.fields.iter().position(named)?;
        Some(self.fields.remove(index).1)
    }

    fn join(&self, name: &str) -> String {
        match self.path.is_empty() {
            true => name.to_owned(),
            false => format!("{}.{name}", self.path),
        }
    }
}

fn fault(place: Location, field: &str, what: &str) -> Fault {
    Fault {
        code: Code::BadSettings,
        line: place.line(),
        column: place.column(),
        field: field.to_owned(),
        what: what.to_owned(),
    }
}

fn unreadable(error: serde_saphyr::Error) -> Fault {
    let place = error.location().unwrap_or(Location::UNKNOWN);
    let text = error.without_snippet().to_string();
    fault(place, "", text.lines().next().unwrap_or("not YAML"))
}
