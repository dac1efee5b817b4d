//! What traits are made of: words, sets of words, flags, and numbers with a dimension.

use std::collections::BTreeSet;
use std::fmt;

/// What a number counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Dimension {
    /// Nothing but itself: cores, prices, labels.
    Plain,
    /// Memory and images; the base is a GB.
    Size,
    /// Durations; the base is a second.
    Time,
    /// Rates of transfer; the base is a GB a second.
    Rate,
}

/// A unit that a number may be written with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unit {
    /// How it is written; empty for plain numbers.
    pub name: &'static str,
    /// What it counts.
    pub dimension: Dimension,
    /// Millionths of the base.
    pub millionths: u128,
}

/// All units, the usual one of each dimension first.
pub const UNITS: [Unit; 10] = [
    Unit {
        name: "",
        dimension: Dimension::Plain,
        millionths: 1_000_000,
    },
    Unit {
        name: "GB",
        dimension: Dimension::Size,
        millionths: 1_000_000,
    },
    Unit {
        name: "TB",
        dimension: Dimension::Size,
        millionths: 1_000_000_000,
    },
    Unit {
        name: "MB",
        dimension: Dimension::Size,
        millionths: 1_000,
    },
    Unit {
        name: "s",
        dimension: Dimension::Time,
        millionths: 1_000_000,
    },
    Unit {
        name: "min",
        dimension: Dimension::Time,
        millionths: 60_000_000,
    },
    Unit {
        name: "h",
        dimension: Dimension::Time,
        millionths: 3_600_000_000,
    },
    Unit {
        name: "ms",
        dimension: Dimension::Time,
        millionths: 1_000,
    },
    Unit {
        name: "GB/s",
        dimension: Dimension::Rate,
        millionths: 1_000_000,
    },
    Unit {
        name: "MB/s",
        dimension: Dimension::Rate,
        millionths: 1_000,
    },
];

impl Dimension {
    /// How a value of it is described.
    pub fn described(self) -> &'static str {
        match self {
            Dimension::Plain => "a plain number",
            Dimension::Size => "a size (MB, GB, TB)",
            Dimension::Time => "a time (ms, s, min, h)",
            Dimension::Rate => "a rate (MB/s, GB/s)",
        }
    }
}

/// A number, exactly as written: whole millionths of its dimension's base, and the unit it is shown in.
#[derive(Clone, Copy, Debug)]
pub struct Quantity {
    /// Millionths of the base of the dimension.
    pub millionths: u128,
    /// The unit that it was written with.
    pub unit: Unit,
}

/// Equal if they mean the same: 1000 MB is 1 GB.
impl PartialEq for Quantity {
    fn eq(&self, other: &Quantity) -> bool {
        (self.millionths, self.unit.dimension) == (other.millionths, other.unit.dimension)
    }
}

impl Eq for Quantity {}

impl Quantity {
    /// So many thousandths of the base of a dimension.
    pub fn thousandths(n: u64, dimension: Dimension) -> Quantity {
        let unit = UNITS
            .into_iter()
            .find(|u| u.dimension == dimension)
            .unwrap_or(UNITS[0]);
        Quantity {
            millionths: u128::from(n) * 1_000,
            unit,
        }
    }

    /// Reads what the grammar lets through: digits with at most three decimals, and a unit's name.
    pub fn read(number: &str, unit: &str) -> Option<Quantity> {
        let unit = UNITS.into_iter().find(|u| u.name == unit)?;
        let (whole, part) = number.split_once('.').unwrap_or((number, ""));
        let part: u128 = if part.is_empty() {
            0
        } else {
            format!("{part:0<3}").parse().ok()?
        };
        let thousandths = whole
            .parse::<u128>()
            .ok()?
            .checked_mul(1_000)?
            .checked_add(part)?;
        Some(Quantity {
            millionths: thousandths.checked_mul(unit.millionths)? / 1_000,
            unit,
        })
    }
}

impl fmt::Display for Quantity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // What was read has at most three decimals of its unit.
        let thousandths = self.millionths * 1_000 / self.unit.millionths;
        write!(f, "{}", thousandths / 1_000)?;
        if !thousandths.is_multiple_of(1_000) {
            let part = format!("{:03}", thousandths % 1_000);
            write!(f, ".{}", part.trim_end_matches('0'))?;
        }
        if self.unit.name.is_empty() {
            Ok(())
        } else {
            write!(f, " {}", self.unit.name)
        }
    }
}

/// What a trait may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sort {
    /// One word.
    Word,
    /// A set of words.
    Words,
    /// Yes or no.
    Flag,
    /// A number.
    Number(Dimension),
}

impl Sort {
    /// How a value of it is described.
    pub fn described(self) -> &'static str {
        match self {
            Sort::Word => "a word",
            Sort::Words => "a set of words",
            Sort::Flag => "a flag",
            Sort::Number(d) => d.described(),
        }
    }
}

/// The value of a trait.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Value {
    /// One word.
    Word(String),
    /// A set of words.
    Words(BTreeSet<String>),
    /// Yes or no.
    Flag(bool),
    /// A number.
    Number(Quantity),
}

impl Value {
    /// What it is.
    pub fn sort(&self) -> Sort {
        match self {
            Value::Word(_) => Sort::Word,
            Value::Words(_) => Sort::Words,
            Value::Flag(_) => Sort::Flag,
            Value::Number(q) => Sort::Number(q.unit.dimension),
        }
    }
}
