//! Hand-written serde of the two messages that every token costs on every hop, [`Step`] and [`Done`].
//!
//! Both are written as arrays of their fields in order, as a derived implementation does, and are
//! read from arrays only, which saves the code that tells field names apart.

use {
    crate::engine::{Done, Step},
    serde::{
        Deserialize, Deserializer, Serialize, Serializer,
        de::{Error, SeqAccess, Visitor},
        ser::SerializeStruct,
    },
    std::fmt,
};

/// Fields of a step.
const STEP: [&str; 5] = ["request", "attempt", "position", "layers", "input"];
/// Fields of a step's answer.
const DONE: [&str; 6] = [
    "request", "attempt", "position", "layers", "output", "token",
];

impl Serialize for Step {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut fields = serializer.serialize_struct("Step", STEP.len())?;
        fields.serialize_field(STEP[0], &self.request)?;
        fields.serialize_field(STEP[1], &self.attempt)?;
        fields.serialize_field(STEP[2], &self.position)?;
        fields.serialize_field(STEP[3], &self.layers)?;
        fields.serialize_field(STEP[4], &self.input)?;
        fields.end()
    }
}

impl<'de> Deserialize<'de> for Step {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_struct("Step", &STEP, StepVisitor)
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
            request: field(&mut fields, 0)?,
            attempt: field(&mut fields, 1)?,
            position: field(&mut fields, 2)?,
            layers: field(&mut fields, 3)?,
            input: field(&mut fields, 4)?,
        })
    }
}

impl Serialize for Done {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut fields = serializer.serialize_struct("Done", DONE.len())?;
        fields.serialize_field(DONE[0], &self.request)?;
        fields.serialize_field(DONE[1], &self.attempt)?;
        fields.serialize_field(DONE[2], &self.position)?;
        fields.serialize_field(DONE[3], &self.layers)?;
        fields.serialize_field(DONE[4], &self.output)?;
        fields.serialize_field(DONE[5], &self.token)?;
        fields.end()
    }
}

impl<'de> Deserialize<'de> for Done {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_struct("Done", &DONE, DoneVisitor)
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
            request: field(&mut fields, 0)?,
            attempt: field(&mut fields, 1)?,
            position: field(&mut fields, 2)?,
            layers: field(&mut fields, 3)?,
            output: field(&mut fields, 4)?,
            token: field(&mut fields, 5)?,
        })
    }
}

fn field<'de, T: Deserialize<'de>, A: SeqAccess<'de>>(
    fields: &mut A,
    index: usize,
) -> Result<T, A::Error> {
    let found = fields.next_element()?;
    found.ok_or_else(|| A::Error::invalid_length(index, &"all fields"))
}
