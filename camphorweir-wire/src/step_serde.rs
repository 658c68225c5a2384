//! Hand-written serde implementations of [`Step`] and [`Done`], which are sent for every token on
//! every hop.
//!
//! Both are written as arrays of their fields in order, as a derived implementation does. They are
//! read from arrays only, which saves the code that matches field names.

use {
    crate::engine::{Done, Step},
    serde::{
        Deserialize, Deserializer, Serialize, Serializer,
        de::{Error, SeqAccess, Visitor},
        ser::SerializeStruct,
    },
    std::fmt,
};

/// Field names of [`Step`].
const STEP_FIELDS: [&str; 5] = ["request", "attempt", "position", "layers", "input"];
/// Field names of [`Done`].
const DONE_FIELDS: [&str; 6] = [
    "request", "attempt", "position", "layers", "output", "token",
];

impl Serialize for Step {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut fields = serializer.serialize_struct("Step", STEP_FIELDS.len())?;
        fields.serialize_field(STEP_FIELDS[0], &self.request)?;
        fields.serialize_field(STEP_FIELDS[1], &self.attempt)?;
        fields.serialize_field(STEP_FIELDS[2], &self.position)?;
        fields.serialize_field(STEP_FIELDS[3], &self.layers)?;
        fields.serialize_field(STEP_FIELDS[4], &self.input)?;
        fields.end()
    }
}

impl<'de> Deserialize<'de> for Step {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_struct("Step", &STEP_FIELDS, StepVisitor)
    }
}

struct StepVisitor;

impl<'de> Visitor<'de> for StepVisitor {
    type Value = Step;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a step as an array of five")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut fields: A) -> Result<Step, A::Error> {
        Ok(Step {
            request: next_field(&mut fields, 0)?,
            attempt: next_field(&mut fields, 1)?,
            position: next_field(&mut fields, 2)?,
            layers: next_field(&mut fields, 3)?,
            input: next_field(&mut fields, 4)?,
        })
    }
}

impl Serialize for Done {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut fields = serializer.serialize_struct("Done", DONE_FIELDS.len())?;
        fields.serialize_field(DONE_FIELDS[0], &self.request)?;
        fields.serialize_field(DONE_FIELDS[1], &self.attempt)?;
        fields.serialize_field(DONE_FIELDS[2], &self.position)?;
        fields.serialize_field(DONE_FIELDS[3], &self.layers)?;
        fields.serialize_field(DONE_FIELDS[4], &self.output)?;
        fields.serialize_field(DONE_FIELDS[5], &self.token)?;
        fields.end()
    }
}

impl<'de> Deserialize<'de> for Done {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_struct("Done", &DONE_FIELDS, DoneVisitor)
    }
}

struct DoneVisitor;

impl<'de> Visitor<'de> for DoneVisitor {
    type Value = Done;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a step's answer as an array of six")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut fields: A) -> Result<Done, A::Error> {
        Ok(Done {
            request: next_field(&mut fields, 0)?,
            attempt: next_field(&mut fields, 1)?,
            position: next_field(&mut fields, 2)?,
            layers: next_field(&mut fields, 3)?,
            output: next_field(&mut fields, 4)?,
            token: next_field(&mut fields, 5)?,
        })
    }
}

fn next_field<'de, T: Deserialize<'de>, A: SeqAccess<'de>>(
    fields: &mut A,
    index: usize,
) -> Result<T, A::Error> {
    let value = fields.next_element()?;
    value.ok_or_else(|| A::Error::invalid_length(index, &"all fields"))
}
