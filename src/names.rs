//! An index between names and their positions, in both directions. The text of each name is stored once.

use hashbrown::HashTable;
use std::hash::{BuildHasher, RandomState};

/// Names in order, looked up by hash. If a name occurs twice, a look-up finds its first position.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// The concatenation of all names.
    text: String,
    /// The end of each name in `text`.
    ends: Vec<usize>,
    /// Positions, by the hash of the name at each. The hash is randomly keyed, because callers control the names that
    /// are looked up.
    positions: HashTable<u32>,
    hasher: RandomState,
}

impl Names {
    /// Returns the name at a position.
    pub fn get(&self, position: usize) -> Option<&str> {
        (position < self.ends.len()).then(|| slice(&self.text, &self.ends, position))
    }

    /// Returns the first position of a name.
    ///
    /// ```
    /// let names: ochrewalk::names::Names = ["read", "write", "read"].into_iter().collect();
    /// assert_eq!((names.position("read"), names.position("write"), names.position("")), (Some(0), Some(1), None));
    /// ```
    pub fn position(&self, name: &str) -> Option<usize> {
        let hash = self.hasher.hash_one(name);
        let entry = self.positions.find(hash, |position| self.get(*position as usize) == Some(name));
        entry.map(|position| *position as usize)
    }

    /// Adds a name at the end.
    pub fn push(&mut self, name: &str) {
        let is_new = self.position(name).is_none();
        let position = self.ends.len() as u32;
        self.text.push_str(name);
        self.ends.push(self.text.len());
        if is_new {
            let hash = self.hasher.hash_one(name);
            let Names { text, ends, positions, hasher } = self;
            let rehash = |position: &u32| hasher.hash_one(slice(text, ends, *position as usize));
            positions.insert_unique(hash, position, rehash);
        }
    }

    /// Releases memory that was reserved for more names.
    pub fn shrink_to_fit(&mut self) {
        self.text.shrink_to_fit();
        self.ends.shrink_to_fit();
    }

    /// Returns the names in order.
    pub fn iter(&self) -> impl ExactSizeIterator<Item = &str> {
        (0..self.ends.len()).map(|position| slice(&self.text, &self.ends, position))
    }

    /// Returns the number of names, including repeated ones.
    pub fn len(&self) -> usize {
        self.ends.len()
    }

    /// Whether the index contains no names.
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }
}

fn slice<'a>(text: &'a str, ends: &[usize], position: usize) -> &'a str {
    let start = position.checked_sub(1).map_or(0, |before| ends[before]);
    &text[start..ends[position]]
}

impl PartialEq for Names {
    fn eq(&self, other: &Names) -> bool {
        (&self.ends, &self.text) == (&other.ends, &other.text)
    }
}

impl<'a> FromIterator<&'a str> for Names {
    fn from_iter<I: IntoIterator<Item = &'a str>>(list: I) -> Names {
        let mut names = Names::default();
        list.into_iter().for_each(|name| names.push(name));
        names
    }
}
