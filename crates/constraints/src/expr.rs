//! Expressions of the language, and their text form.

use super::value::Quantity;
use std::collections::BTreeSet;
use std::fmt;

/// Position in the text that an expression was parsed from, counted from 1. All positions compare as equal, so that the
/// comparison of expressions ignores their layout.
#[derive(Clone, Copy, Debug, Default)]
pub struct Position {
    /// Line.
    pub line: usize,
    /// Column, in characters.
    pub column: usize,
}

impl Position {
    /// The start of a text.
    pub const START: Position = Position { line: 1, column: 1 };

    /// The position after a character that is at this position.
    pub fn after(self, c: char) -> Position {
        if c == '\n' {
            Position {
                line: self.line + 1,
                column: 1,
            }
        } else {
            Position {
                column: self.column + 1,
                ..self
            }
        }
    }
}

impl PartialEq for Position {
    fn eq(&self, _: &Position) -> bool {
        true
    }
}

impl Eq for Position {}

/// The words that a test compares with.
pub type Words = BTreeSet<String>;

/// A comparison of numbers or words.
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
    /// All comparisons with their signs.
    pub const ALL: [(Comparison, &'static str); 6] = [
        (Comparison::Equal, "="),
        (Comparison::Unequal, "!="),
        (Comparison::Less, "<"),
        (Comparison::AtMost, "<="),
        (Comparison::More, ">"),
        (Comparison::AtLeast, ">="),
    ];

    /// The comparison with a sign.
    pub fn from_sign(sign: &str) -> Option<Comparison> {
        Comparison::ALL
            .into_iter()
            .find(|(_, known)| *known == sign)
            .map(|(comparison, _)| comparison)
    }

    fn sign(self) -> &'static str {
        Comparison::ALL
            .into_iter()
            .find(|(comparison, _)| *comparison == self)
            .map_or("", |(_, sign)| sign)
    }
}

/// The right side of a comparison.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Operand {
    /// A word.
    Word(String),
    /// A number.
    Number(Quantity),
}

/// A test of one trait of a machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Test {
    /// The flag is set.
    Flag,
    /// The machine has the trait.
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

/// The property by which a test selects colocated jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Field {
    /// The class of jobs.
    JobClass,
    /// The team.
    Team,
    /// The image.
    Image,
    /// The priority.
    Priority,
    /// The job's name.
    Job,
}

impl Field {
    /// All fields with their names in the language.
    pub const ALL: [(Field, &'static str); 5] = [
        (Field::JobClass, "lane"),
        (Field::Team, "crew"),
        (Field::Image, "image"),
        (Field::Priority, "urgency"),
        (Field::Job, "job"),
    ];

    /// The field with a name.
    pub fn from_name(name: &str) -> Option<Field> {
        Field::ALL
            .into_iter()
            .find(|(_, known)| *known == name)
            .map(|(field, _)| field)
    }

    fn name(self) -> &'static str {
        Field::ALL
            .into_iter()
            .find(|(field, _)| *field == self)
            .map_or("", |(_, name)| name)
    }
}

/// An expression. A test of a trait fails if the machine does not have the trait.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Expr {
    /// At least one of these expressions holds.
    Or(Vec<Expr>),
    /// All of these expressions hold.
    And(Vec<Expr>),
    /// This expression does not hold.
    Not(Box<Expr>),
    /// A test of a trait.
    Trait(String, Test, Position),
    /// The machine has the job's own image in its cache or downloads it.
    HasOwnImage,
    /// The machine has one of these images in its cache or downloads it.
    HasAnyImage(Words),
    /// A task of another job, whose field has one of these words, is assigned to the machine.
    Colocated(Field, Words),
}

impl Expr {
    /// Calls `visit` with each test in the expression.
    pub fn visit_tests<'a>(&'a self, visit: &mut dyn FnMut(&'a Expr)) {
        match self {
            Expr::Or(operands) | Expr::And(operands) => {
                operands
                    .iter()
                    .for_each(|operand| operand.visit_tests(visit));
            }
            Expr::Not(negated) => negated.visit_tests(visit),
            test => visit(test),
        }
    }

    /// Whether the expression tests which other jobs are on the machine.
    pub fn tests_colocation(&self) -> bool {
        let mut found = false;
        self.visit_tests(&mut |test| found |= matches!(test, Expr::Colocated(..)));
        found
    }
}

/// Keywords of the language. A word that is spelled like a keyword has to be quoted.
pub const KEYWORDS: [&str; 11] = [
    "and", "or", "not", "in", "has", "holds", "beside", "present", "any", "all", "own",
];

/// Writes a word, with quotes if it would not be parsed as a word without them.
fn write_word(f: &mut fmt::Formatter<'_>, word: &str) -> fmt::Result {
    if is_bare(word) {
        return f.write_str(word);
    }
    write!(f, "\"{}\"", word.replace('\\', "\\\\").replace('"', "\\\""))
}

/// Whether a word needs no quotes.
fn is_bare(word: &str) -> bool {
    let is_bare_char = |c: char| c.is_ascii_alphanumeric() || "_-./:+".contains(c);
    let starts_bare = word
        .chars()
        .next()
        .is_some_and(|c| c.is_ascii_alphabetic() || c == '_');
    starts_bare && word.chars().all(is_bare_char) && !KEYWORDS.contains(&word)
}

/// Writes words: a single one without braces, several in braces.
fn write_words(f: &mut fmt::Formatter<'_>, words: &Words) -> fmt::Result {
    if let (Some(word), 1) = (words.first(), words.len()) {
        return write_word(f, word);
    }
    f.write_str("{")?;
    for (index, word) in words.iter().enumerate() {
        if index > 0 {
            f.write_str(", ")?;
        }
        write_word(f, word)?;
    }
    f.write_str("}")
}

/// Operator precedence, lowest first. An operand with a lower precedence than its context requires is parenthesized.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Precedence {
    Or,
    And,
    Not,
    Test,
}

impl Expr {
    fn precedence(&self) -> Precedence {
        match self {
            Expr::Or(_) => Precedence::Or,
            Expr::And(_) => Precedence::And,
            Expr::Not(_) => Precedence::Not,
            _ => Precedence::Test,
        }
    }

    /// Writes the expression as an operand, in parentheses if its precedence is lower than required.
    fn write_operand(&self, f: &mut fmt::Formatter<'_>, required: Precedence) -> fmt::Result {
        if self.precedence() < required {
            write!(f, "({self})")
        } else {
            write!(f, "{self}")
        }
    }
}

fn write_joined(
    f: &mut fmt::Formatter<'_>,
    operands: &[Expr],
    separator: &str,
    required: Precedence,
) -> fmt::Result {
    for (index, operand) in operands.iter().enumerate() {
        if index > 0 {
            f.write_str(separator)?;
        }
        operand.write_operand(f, required)?;
    }
    Ok(())
}

fn write_test(f: &mut fmt::Formatter<'_>, name: &str, test: &Test) -> fmt::Result {
    match test {
        Test::Flag => f.write_str(name),
        Test::Present => write!(f, "present {name}"),
        Test::Compare(comparison, Operand::Word(word)) => {
            write!(f, "{name} {} ", comparison.sign())?;
            write_word(f, word)
        }
        Test::Compare(comparison, Operand::Number(number)) => {
            write!(f, "{name} {} {number}", comparison.sign())
        }
        Test::Within(words) => {
            write!(f, "{name} in ")?;
            write_words(f, words)
        }
        Test::HasAny(words) => {
            write!(f, "{name} has ")?;
            write_words(f, words)
        }
        Test::HasAll(words) => {
            write!(f, "{name} has all ")?;
            write_words(f, words)
        }
    }
}

impl fmt::Display for Expr {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Expr::Or(operands) => write_joined(f, operands, " or ", Precedence::And),
            Expr::And(operands) => write_joined(f, operands, " and ", Precedence::Not),
            Expr::Not(negated) => {
                f.write_str("not ")?;
                negated.write_operand(f, Precedence::Not)
            }
            Expr::HasOwnImage => f.write_str("holds own"),
            Expr::HasAnyImage(images) => {
                f.write_str("holds ")?;
                write_words(f, images)
            }
            Expr::Colocated(field, words) => {
                write!(f, "beside {} ", field.name())?;
                write_words(f, words)
            }
            Expr::Trait(name, test, _) => write_test(f, name, test),
        }
    }
}
