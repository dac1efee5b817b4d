//! The language's expressions, and how they are printed.

use super::value::Quantity;
use std::collections::BTreeSet;
use std::fmt;

/// Where something stands in the text it was read from, counted from 1. Equal to any other: two
/// expressions are the same whatever their layout.
#[derive(Clone, Copy, Debug, Default)]
pub struct At {
    /// Line.
    pub line: usize,
    /// Column, in characters.
    pub column: usize,
}

impl PartialEq for At {
    fn eq(&self, _: &At) -> bool {
        true
    }
}

impl Eq for At {}

/// The words that a test compares with.
pub type Words = BTreeSet<String>;

/// How numbers and words are compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Comparison {
    /// `=`
    Equal,
    /// `!=`
    Unequal,
    /// `<`
    Less,
    /// `<=`
    AtMost,
    /// `>`
    More,
    /// `>=`
    AtLeast,
}

impl Comparison {
    /// Every comparison with how it is written.
    pub const ALL: [(Comparison, &'static str); 6] = [
        (Comparison::Equal, "="),
        (Comparison::Unequal, "!="),
        (Comparison::Less, "<"),
        (Comparison::AtMost, "<="),
        (Comparison::More, ">"),
        (Comparison::AtLeast, ">="),
    ];
}

/// What a trait is compared with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Operand {
    /// A word.
    Word(String),
    /// A number.
    Number(Quantity),
}

/// What is asked about a trait of the machine itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Test {
    /// The flag is set.
    Flag,
    /// The trait is there at all.
    Present,
    /// A comparison with one value.
    Compare(Comparison, Operand),
    /// The word is one of these.
    Within(Words),
    /// The set has one of these.
    HasAny(Words),
    /// The set has all of these.
    HasAll(Words),
}

/// By what other jobs on a machine are told apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Field {
    /// The class of jobs.
    JobClass,
    /// The team.
    Team,
    /// The image.
    Image,
    /// The urgency.
    Priority,
    /// The job's name.
    Job,
}

impl Field {
    /// Every field with how it is written.
    pub const ALL: [(Field, &'static str); 5] = [
        (Field::JobClass, "lane"),
        (Field::Team, "crew"),
        (Field::Image, "image"),
        (Field::Priority, "urgency"),
        (Field::Job, "job"),
    ];
}

/// An expression. What is asked of a trait that a machine does not have is answered no.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Expr {
    /// One of these holds.
    Or(Vec<Expr>),
    /// All of these hold.
    And(Vec<Expr>),
    /// It does not hold.
    Not(Box<Expr>),
    /// A test of a trait.
    Trait(String, Test, At),
    /// The machine has the job's own image, or is fetching it.
    HoldsOwn,
    /// The machine has one of these images, or is fetching it.
    Holds(Words),
    /// A task of another job of this kind is booked there.
    Colocated(Field, Words),
}

impl Expr {
    /// Calls `see` with every test in it.
    pub fn tests<'a>(&'a self, see: &mut dyn FnMut(&'a Expr)) {
        match self {
            Expr::Or(all) | Expr::And(all) => all.iter().for_each(|e| e.tests(see)),
            Expr::Not(e) => e.tests(see),
            test => see(test),
        }
    }

    /// Whether it asks which other jobs are on the machine.
    pub fn tests_colocation(&self) -> bool {
        let mut any = false;
        self.tests(&mut |t| any |= matches!(t, Expr::Colocated(..)));
        any
    }
}

/// Words that have a meaning of their own and are quoted where they are meant as words.
pub const KEYWORDS: [&str; 11] = [
    "and", "or", "not", "in", "has", "holds", "beside", "present", "any", "all", "own",
];

fn print_word(f: &mut fmt::Formatter<'_>, word: &str) -> fmt::Result {
    let bare = |c: char| c.is_ascii_alphanumeric() || "_-./:+".contains(c);
    let first = word
        .chars()
        .next()
        .is_some_and(|c| c.is_ascii_alphabetic() || c == '_');
    if first && word.chars().all(bare) && !KEYWORDS.contains(&word) {
        return f.write_str(word);
    }
    write!(f, "\"{}\"", word.replace('\\', "\\\\").replace('"', "\\\""))
}

fn print_words(f: &mut fmt::Formatter<'_>, words: &Words) -> fmt::Result {
    if let (Some(one), 1) = (words.first(), words.len()) {
        return print_word(f, one);
    }
    f.write_str("{")?;
    for (i, w) in words.iter().enumerate() {
        if i > 0 {
            f.write_str(", ")?;
        }
        print_word(f, w)?;
    }
    f.write_str("}")
}

impl Expr {
    /// How tightly it binds: what binds less than what stands around it goes in parentheses.
    fn strength(&self) -> u8 {
        match self {
            Expr::Or(_) => 0,
            Expr::And(_) => 1,
            Expr::Not(_) => 2,
            _ => 3,
        }
    }

    fn print_in(&self, f: &mut fmt::Formatter<'_>, around: u8) -> fmt::Result {
        if self.strength() < around {
            write!(f, "({self})")
        } else {
            write!(f, "{self}")
        }
    }
}

impl fmt::Display for Expr {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Expr::Or(all) | Expr::And(all) => {
                let between = if matches!(self, Expr::Or(_)) {
                    " or "
                } else {
                    " and "
                };
                for (i, e) in all.iter().enumerate() {
                    if i > 0 {
                        f.write_str(between)?;
                    }
                    e.print_in(f, self.strength() + 1)?;
                }
                Ok(())
            }
            Expr::Not(e) => {
                f.write_str("not ")?;
                e.print_in(f, 2)
            }
            Expr::HoldsOwn => f.write_str("holds own"),
            Expr::Holds(words) => {
                f.write_str("holds ")?;
                print_words(f, words)
            }
            Expr::Colocated(field, words) => {
                let name = Field::ALL
                    .iter()
                    .find(|(x, _)| x == field)
                    .map_or("", |(_, name)| name);
                write!(f, "beside {name} ")?;
                print_words(f, words)
            }
            Expr::Trait(name, test, _) => match test {
                Test::Flag => f.write_str(name),
                Test::Present => write!(f, "present {name}"),
                Test::Compare(c, operand) => {
                    let sign = Comparison::ALL
                        .iter()
                        .find(|(x, _)| x == c)
                        .map_or("", |(_, sign)| sign);
                    write!(f, "{name} {sign} ")?;
                    match operand {
                        Operand::Word(w) => print_word(f, w),
                        Operand::Number(n) => write!(f, "{n}"),
                    }
                }
                Test::Within(words) => {
                    write!(f, "{name} in ")?;
                    print_words(f, words)
                }
                Test::HasAny(words) => {
                    write!(f, "{name} has ")?;
                    print_words(f, words)
                }
                Test::HasAll(words) => {
                    write!(f, "{name} has all ")?;
                    print_words(f, words)
                }
            },
        }
    }
}
