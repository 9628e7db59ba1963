//! Lists in JSON whose items other writers may have spoilt.

use std::{fmt, marker::PhantomData};

use serde::{
    Deserialize, Deserializer,
    de::{DeserializeOwned, SeqAccess, Visitor},
};
use serde_json::value::RawValue;

/// Maximum size of the text of others that is logged, in bytes.
const MAX_EXCERPT_BYTES: usize = 200;

/// A list without the items that cannot be read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PartialList<T> {
    /// The items that can be read.
    pub items: Vec<T>,
    /// Number of items that were left out.
    pub unreadable: u32,
    /// What is wrong with the first of them; empty if there is none.
    pub fault: String,
}

impl<T> Default for PartialList<T> {
    fn default() -> Self {
        Self {
            items: Vec::new(),
            unreadable: 0,
            fault: String::new(),
        }
    }
}

impl<T> PartialList<T> {
    /// Leaves out the items that are not valid either, for the reason `fault`.
    pub fn require(&mut self, is_valid: impl Fn(&T) -> bool, fault: &str) {
        let items = std::mem::take(&mut self.items);
        for item in items {
            if is_valid(&item) {
                self.items.push(item);
            } else {
                self.leave_out(fault);
            }
        }
    }

    /// Counts items that are left out, of which the first has this fault.
    pub fn count_unreadable(&mut self, count: u32, fault: &str) {
        if self.unreadable == 0 {
            excerpt(fault).clone_into(&mut self.fault);
        }
        self.unreadable += count;
    }

    fn leave_out(&mut self, fault: &str) {
        self.count_unreadable(1, fault);
    }
}

impl<'de, T: DeserializeOwned> Deserialize<'de> for PartialList<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_seq(ItemVisitor(PhantomData))
    }
}

/// Reads the items one by one, so that those left out take no memory.
struct ItemVisitor<T>(PhantomData<T>);

impl<'de, T: DeserializeOwned> Visitor<'de> for ItemVisitor<T> {
    type Value = PartialList<T>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a list")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<Self::Value, A::Error> {
        let mut list = PartialList::default();
        while let Some(item) = items.next_element::<Box<RawValue>>()? {
            match serde_json::from_str(item.get()) {
                Ok(item) => list.items.push(item),
                Err(error) => list.leave_out(&error.to_string()),
            }
        }
        Ok(list)
    }
}

/// Returns the start of a text that others wrote, as much of it as is logged.
#[must_use]
pub fn excerpt(text: &str) -> &str {
    &text[..text.floor_char_boundary(MAX_EXCERPT_BYTES)]
}
