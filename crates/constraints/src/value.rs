//! Values of traits: words, sets of words, flags, and numbers with a dimension.

use std::collections::BTreeSet;
use std::fmt;

/// What a number measures.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Dimension {
    /// Dimensionless: cores, prices, labels.
    Plain,
    /// Sizes of memory and images, in GB.
    Size,
    /// Durations, in seconds.
    Time,
    /// Transfer rates, in GB per second.
    Rate,
}

/// A unit that a number may be written with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unit {
    /// Its name in the language; empty for plain numbers.
    pub name: &'static str,
    /// What it measures.
    pub dimension: Dimension,
    /// The size of the unit, in millionths of the base unit of the dimension.
    pub millionths: u128,
}

/// All units, the base unit of each dimension first.
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
    /// Its description in error messages.
    pub fn description(self) -> &'static str {
        match self {
            Dimension::Plain => "a plain number",
            Dimension::Size => "a size (MB, GB, TB)",
            Dimension::Time => "a time (ms, s, min, h)",
            Dimension::Rate => "a rate (MB/s, GB/s)",
        }
    }
}

/// An exact number with the unit that it was written with.
#[derive(Clone, Copy, Debug)]
pub struct Quantity {
    /// Millionths of the base unit of the dimension.
    pub millionths: u128,
    /// The unit that it was written with.
    pub unit: Unit,
}

/// Quantities are equal if they measure the same, whatever their units: 1000 MB equals 1 GB.
impl PartialEq for Quantity {
    fn eq(&self, other: &Quantity) -> bool {
        (self.millionths, self.unit.dimension) == (other.millionths, other.unit.dimension)
    }
}

impl Eq for Quantity {}

impl Quantity {
    /// A number of thousandths of the base unit of a dimension.
    pub fn thousandths(thousandths: u64, dimension: Dimension) -> Quantity {
        let unit = UNITS
            .into_iter()
            .find(|unit| unit.dimension == dimension)
            .unwrap_or(UNITS[0]);
        Quantity {
            millionths: u128::from(thousandths) * 1_000,
            unit,
        }
    }

    /// Parses what the grammar accepts: digits with at most three decimals, and the name of a unit. `None` if the
    /// unit is unknown or the number is too large.
    pub fn parse(number: &str, unit: &str) -> Option<Quantity> {
        let unit = UNITS.into_iter().find(|known| known.name == unit)?;
        let (whole, decimals) = number.split_once('.').unwrap_or((number, "0"));
        let decimals: u128 = format!("{decimals:0<3}").parse().ok()?;
        let thousandths = whole
            .parse::<u128>()
            .ok()?
            .checked_mul(1_000)?
            .checked_add(decimals)?;
        Some(Quantity {
            millionths: thousandths.checked_mul(unit.millionths)? / 1_000,
            unit,
        })
    }
}

impl fmt::Display for Quantity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // The grammar accepts at most three decimals.
        let thousandths = self.millionths * 1_000 / self.unit.millionths;
        write!(f, "{}", thousandths / 1_000)?;
        if !thousandths.is_multiple_of(1_000) {
            let decimals = format!("{:03}", thousandths % 1_000);
            write!(f, ".{}", decimals.trim_end_matches('0'))?;
        }
        if self.unit.name.is_empty() {
            Ok(())
        } else {
            write!(f, " {}", self.unit.name)
        }
    }
}

/// The sorts of values.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sort {
    /// One word.
    Word,
    /// A set of words.
    Words,
    /// A flag, set or not.
    Flag,
    /// A number.
    Number(Dimension),
}

impl Sort {
    /// Its description in error messages.
    pub fn description(self) -> &'static str {
        match self {
            Sort::Word => "a word",
            Sort::Words => "a set of words",
            Sort::Flag => "a flag",
            Sort::Number(dimension) => dimension.description(),
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
    /// A flag, set or not.
    Flag(bool),
    /// A number.
    Number(Quantity),
}

impl Value {
    /// Its sort.
    pub fn sort(&self) -> Sort {
        match self {
            Value::Word(_) => Sort::Word,
            Value::Words(_) => Sort::Words,
            Value::Flag(_) => Sort::Flag,
            Value::Number(number) => Sort::Number(number.unit.dimension),
        }
    }
}
