//! Faults of a configuration file and warnings about it, each with a code, a place and a description.

use {
    crate::check::name_is_usable,
    serde::Serialize,
    std::fmt::{self, Display, Formatter},
};

macro_rules! codes {
    ($($(#[doc = $doc:literal])+ $name:ident = $number:literal, $hint:literal;)+) => {
        /// A kind of fault.
        #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(into = "u16")]
        #[repr(u16)]
        pub enum Code {
            $($(#[doc = $doc])+ $name = $number,)+
        }

        impl Code {
            /// All codes in the order of their numbers.
            pub const ALL: &[Self] = &[$(Self::$name,)+];

            /// The number shown in reports and the documentation.
            pub fn number(self) -> u16 {
                self as u16
            }

            /// The name in the documentation's table.
            pub fn name(self) -> &'static str {
                match self { $(Self::$name => stringify!($name),)+ }
            }

            /// The meaning, in one sentence.
            pub fn meaning(self) -> &'static str {
                match self { $(Self::$name => concat!($($doc,)+),)+ }
            }

            /// What the operator should do.
            pub fn remedy(self) -> &'static str {
                match self { $(Self::$name => $hint,)+ }
            }
        }

        impl TryFrom<u16> for Code {
            type Error = String;

            fn try_from(number: u16) -> Result<Self, String> {
                match number {
                    $($number => Ok(Self::$name),)+
                    _ => Err(format!("no fault code {number}")),
                }
            }
        }
    };
}

impl From<Code> for u16 {
    fn from(code: Code) -> Self {
        code.number()
    }
}

codes! {
    /// The text is not well-formed YAML.
    Syntax = 5101, "Correct the YAML at the line named.";
    /// The text is longer or nested deeper than a configuration may be.
    TooLarge = 5102, "Shorten the file.";
    /// The field does not exist.
    UnknownField = 5103, "Correct the field's name or remove it.";
    /// A field that must be there is missing.
    MissingField = 5104, "Add the field.";
    /// The value is of another type or out of the range of its type.
    WrongType = 5105, "Write a value of the type named; quote names that look like numbers.";
    /// The mapping has the same key twice.
    DuplicateKey = 5106, "Remove one of the two.";
    /// The name can't be used.
    BadName = 5107, "Use 1 to 64 characters out of `a-z`, `0-9`, `.`, `_` and `-`.";
    /// No item has the name that is referred to.
    NoSuchReference = 5108, "Correct the name or add what it should name.";
    /// The address is not `IP:PORT`.
    BadAddress = 5109, "Write an IP address and a port other than 0, such as `10.0.0.7:8000`.";
    /// Two targets have the same address.
    DuplicateAddress = 5110, "Give each target its own address.";
    /// The range of layers is empty or reaches past the model.
    BadLayers = 5111, "Write `first` below `end`, and `end` at most the model's layers.";
    /// Some layers of a pipeline's model are held by no target.
    LayersGap = 5112, "Add targets that hold the layers named.";
    /// The rate or time is not a finite number above zero.
    BadRate = 5113, "Write a number above zero.";
    /// The key hash is not 64 lower-case hexadecimal digits.
    BadKeyHash = 5114, "Write the BLAKE3 hash of the key in lower-case hexadecimal digits.";
    /// The same key hash is used twice, so a caller's workspace would be ambiguous.
    DuplicateKeyHash = 5115, "Give each workspace its own keys.";
    /// A route to a pipeline says never repeat, but pipelines are repeatable.
    NeverOnPipeline = 5116, "Remove `repeat: never`, or point the route to a plain service.";
    /// The limit is zero, so nothing would ever be served.
    ZeroLimit = 5117, "Write a limit above zero; to block a workspace, remove its keys.";
    /// The number is outside the bounds of a configuration.
    OutOfBounds = 5118, "Write a number inside the bounds named.";
    /// The two zones are linked twice.
    DuplicateLink = 5119, "Remove one of the two links.";
    /// The record in the log is not a configuration record.
    Garbled = 5120, "Find out who writes to the configuration stream; the record is skipped.";
    /// A warning: requests for the pipeline's name are matched by a route to another pipeline.
    ShadowedRoute = 5151, "Give the other route a name that no pipeline has.";
    /// A warning: callers hold keys of the workspace, but it has no route.
    NoRoutes = 5152, "Add a route, or remove the keys.";
    /// A warning: routes lead here, but no target that accepts work serves it.
    Unserved = 5153, "Add a target or undrain one, or remove the routes.";
    /// A warning: nothing refers to the item.
    Unused = 5154, "Remove the item, or add what should refer to it.";
    /// A warning: the deadline ends the longest answers that the pipeline permits.
    DeadlineTooShort = 5155, "Lengthen the deadline or lower `max_tokens` of the pipeline.";
    /// A warning: other limits of the workspace keep it from ever reaching this limit.
    UnreachableLimit = 5156, "Lower this limit or raise the limit named.";
    /// A warning: the workspace has routes, but no key with which callers may use them.
    NoKeys = 5157, "Add a key, or remove the routes.";
}

/// A position in the text: line and column, both from 1.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Position {
    /// The line.
    pub line: u64,
    /// The column, in characters.
    pub column: u64,
}

/// The place of a fault: the path of fields and names from the document's root.
#[derive(Clone, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Place {
    /// Field names, names of items and indexes of lists.
    pub steps: Vec<String>,
    /// The position in the text, when the document was read from text.
    pub position: Option<Position>,
}

impl Place {
    /// The place with these steps.
    pub fn of(steps: &[&str]) -> Self {
        Self {
            steps: steps.iter().map(|step| (*step).to_owned()).collect(),
            position: None,
        }
    }

    /// The steps joined by dots, such as `workspaces.depot-7.routes.seal.to`; a step that is not a
    /// usable name is quoted.
    pub fn path(&self) -> String {
        let steps: Vec<_> = self.steps.iter().map(|step| step_text(step)).collect();
        steps.join(".")
    }
}

fn step_text(step: &str) -> String {
    if name_is_usable(step) {
        return step.to_owned();
    }
    format!("{step:?}")
}

impl Display for Place {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match (self.steps.is_empty(), self.position) {
            (true, None) => f.write_str("document"),
            (true, Some(position)) => write!(f, "{}:{}", position.line, position.column),
            (false, None) => f.write_str(&self.path()),
            (false, Some(position)) => write!(
                f,
                "{} at {}:{}",
                self.path(),
                position.line,
                position.column
            ),
        }
    }
}

impl Serialize for Place {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

/// One fault.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Fault {
    /// The kind of fault.
    pub code: Code,
    /// The place in the document.
    pub place: Place,
    /// A human-readable description.
    pub text: String,
}

impl Fault {
    /// A fault at the place with these steps.
    pub fn new(code: Code, steps: &[&str], text: impl Into<String>) -> Self {
        Self {
            code,
            place: Place::of(steps),
            text: text.into(),
        }
    }
}

impl Display for Fault {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}: {}", self.code.number(), self.place, self.text)
    }
}
