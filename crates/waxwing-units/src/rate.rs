//! Token rates and token amounts of a rate limit.

use std::fmt;
use std::str;
use std::time;

/// Nanotokens per token; the nanotoken is the finest unit that is counted.
pub const NANO_PER_TOKEN: i64 = 1_000_000_000;

/// Millitokens per token.
const MILLI_PER_TOKEN: u64 = 1_000;

/// The largest accepted rate, in tokens per second.
pub const RATE_MAX_TOKENS_PER_SECOND: u64 = 1_000_000;

/// The largest accepted burst, in tokens.
pub const BURST_MAX_TOKENS: u64 = 1_000_000;

/// The result of parsing a rate or an amount.
pub type Result<T> = std::result::Result<T, Error>;

/// The reason why a text is not a rate or an amount.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The text does not end with the unit.
    #[error("write a number and the unit, such as {example:?}")]
    Unit {
        /// A text that would be accepted.
        example: &'static str,
    },
    /// The text before the unit is not a number.
    #[error("{text:?} is not a number with at most three decimal places")]
    Number {
        /// The text that was read.
        text: String,
    },
    /// The number is above the largest accepted value.
    #[error("the largest accepted value is {max}")]
    TooLarge {
        /// The largest accepted value, in whole tokens or tokens per second.
        max: u64,
    },
}

/// A rate in thousandths of a token per second, written such as `50/s` or `0.500/s`.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(transparent)]
pub struct TokenRate(u64);

impl TokenRate {
    /// Returns the rate of `milli` thousandths of a token per second.
    pub const fn from_milli_per_second(milli: u64) -> Self {
        Self(milli)
    }

    /// Returns the rate of `tokens` per second.
    pub const fn per_second(tokens: u64) -> Self {
        Self(tokens * MILLI_PER_TOKEN)
    }

    /// Returns the rate in thousandths of a token per second.
    pub const fn milli_per_second(self) -> u64 {
        self.0
    }

    /// Returns the tokens that the rate yields within `span`, rounded down.
    pub fn tokens_within(self, span: time::Duration) -> NanoTokens {
        let nano = u128::from(self.0) * span.as_nanos() / u128::from(MILLI_PER_TOKEN);
        NanoTokens(i64::try_from(nano).unwrap_or(i64::MAX))
    }

    /// Returns the time that the rate takes to yield `amount`, rounded up.
    ///
    /// A rate of zero never yields anything; the result is then [`time::Duration::MAX`].
    pub fn time_to_yield(self, amount: NanoTokens) -> time::Duration {
        if amount.0 <= 0 {
            return time::Duration::ZERO;
        }
        if self.0 == 0 {
            return time::Duration::MAX;
        }
        let scaled = u128::from(amount.0.unsigned_abs()) * u128::from(MILLI_PER_TOKEN);
        let span_ns = scaled.div_ceil(u128::from(self.0));
        time::Duration::from_nanos(u64::try_from(span_ns).unwrap_or(u64::MAX))
    }

    /// Returns `permille` thousandths of the rate, rounded down.
    pub const fn permille(self, permille: u64) -> Self {
        Self(self.0.saturating_mul(permille) / 1_000)
    }

    /// Returns the sum of two rates.
    pub const fn plus(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl fmt::Display for TokenRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let whole = self.0 / MILLI_PER_TOKEN;
        let milli = self.0 % MILLI_PER_TOKEN;
        match milli {
            0 => write!(f, "{whole}/s"),
            _ => write!(f, "{whole}.{milli:03}/s"),
        }
    }
}

impl str::FromStr for TokenRate {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let number = text.strip_suffix("/s").ok_or(Error::Unit { example: "50/s" })?;
        let milli = parse_milli(number)?;
        if milli > RATE_MAX_TOKENS_PER_SECOND * MILLI_PER_TOKEN {
            return Err(Error::TooLarge { max: RATE_MAX_TOKENS_PER_SECOND });
        }
        Ok(Self(milli))
    }
}

fn parse_milli(text: &str) -> Result<u64> {
    let invalid = || Error::Number { text: text.to_owned() };
    let (whole, fraction) = text.split_once('.').unwrap_or((text, ""));
    if fraction.len() > 3 || !fraction.bytes().all(|b| b.is_ascii_digit()) {
        return Err(invalid());
    }
    let whole: u64 = whole.parse().map_err(|_| invalid())?;
    let milli: u64 = format!("{fraction:0<3}").parse().map_err(|_| invalid())?;
    whole.checked_mul(MILLI_PER_TOKEN).and_then(|w| w.checked_add(milli)).ok_or_else(invalid)
}

/// A number of whole tokens, such as a burst, written as `50 tokens`.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(transparent)]
pub struct Tokens(pub u64);

impl Tokens {
    /// Returns the amount in nanotokens, at most the largest amount.
    pub const fn nano(self) -> NanoTokens {
        let nano = self.0.saturating_mul(NANO_PER_TOKEN.unsigned_abs());
        NanoTokens(if nano > i64::MAX.unsigned_abs() { i64::MAX } else { nano.cast_signed() })
    }
}

impl fmt::Display for Tokens {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} tokens", self.0)
    }
}

impl str::FromStr for Tokens {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let number = text.strip_suffix(" tokens").ok_or(Error::Unit { example: "50 tokens" })?;
        let tokens = number.parse().map_err(|_| Error::Number { text: number.to_owned() })?;
        if tokens > BURST_MAX_TOKENS {
            return Err(Error::TooLarge { max: BURST_MAX_TOKENS });
        }
        Ok(Self(tokens))
    }
}

/// An amount in nanotokens (billionths of a token); negative for tokens that are owed.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(transparent)]
pub struct NanoTokens(pub i64);

impl NanoTokens {
    /// An amount of no tokens.
    pub const ZERO: Self = Self(0);

    /// Returns the sum of two amounts, saturating at the largest amount.
    pub const fn plus(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }

    /// Returns the amount less `other`, which may be negative.
    pub const fn minus(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// Returns `permille` times a thousandth of the amount, which is rounded towards zero first.
    pub const fn permille(self, permille: i64) -> Self {
        Self(self.0 / 1_000 * permille)
    }

    /// Returns the whole tokens in the amount; none if it is negative.
    pub const fn whole(self) -> Tokens {
        if self.0 < 0 { Tokens(0) } else { Tokens(self.0.unsigned_abs() / NANO_PER_TOKEN as u64) }
    }
}

impl fmt::Display for NanoTokens {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3} tokens", self.0 as f64 / NANO_PER_TOKEN as f64)
    }
}
