//! Operators and functions on the values of the machine, and the cost that they spend.

use super::{Fault, Machine, StackValue};
use crate::ast::Binary;
use crate::constant::Const;
use crate::node::Func;
use crate::price;
use std::fmt::Write;

/// Maximum length of a text that is parsed as a number or an address, bytes.
const MAX_PARSED_TEXT: usize = 64;

impl<'a> Machine<'a, '_> {
    pub(super) fn equal(&self, a: StackValue<'a>, b: StackValue<'a>) -> Result<bool, Fault> {
        Ok(match (a, b) {
            (StackValue::Bool(a), StackValue::Bool(b)) => a == b,
            (StackValue::Int(a), StackValue::Int(b))
            | (StackValue::Duration(a), StackValue::Duration(b)) => a == b,
            (StackValue::Double(a), StackValue::Double(b)) => a == b,
            (StackValue::Ip(a), StackValue::Ip(b)) => a == b,
            (a, b) => self.text(a)? == self.text(b)?,
        })
    }

    #[expect(
        clippy::too_many_lines,
        reason = "rules with `contains` evaluate a tenth slower if this function is split"
    )]
    pub(super) fn binary(
        &mut self,
        operator: Binary,
        a: StackValue<'a>,
        b: StackValue<'a>,
    ) -> Result<StackValue<'a>, Fault> {
        use std::cmp::Ordering;
        let checked = |value: Option<i64>| value.ok_or(Fault::Overflow);
        let finite = |value: f64| {
            if value.is_finite() {
                Ok(StackValue::Double(value))
            } else {
                Err(Fault::Overflow)
            }
        };
        match operator {
            Binary::Equal | Binary::Unequal => {
                self.spend(price::compare(self.length(a), self.length(b)))?;
                Ok(StackValue::Bool(
                    self.equal(a, b)? == (operator == Binary::Equal),
                ))
            }
            Binary::Less | Binary::LessEqual | Binary::Greater | Binary::GreaterEqual => {
                self.spend(price::compare(self.length(a), self.length(b)))?;
                let order = match (a, b) {
                    (StackValue::Int(a), StackValue::Int(b))
                    | (StackValue::Duration(a), StackValue::Duration(b)) => a.cmp(&b),
                    (StackValue::Double(a), StackValue::Double(b)) => {
                        a.partial_cmp(&b).unwrap_or(Ordering::Equal)
                    }
                    (a, b) => self.text(a)?.cmp(self.text(b)?),
                };
                Ok(StackValue::Bool(match operator {
                    Binary::Less => order.is_lt(),
                    Binary::LessEqual => order.is_le(),
                    Binary::Greater => order.is_gt(),
                    _ => order.is_ge(),
                }))
            }
            Binary::Add => match (a, b) {
                (StackValue::Int(a), StackValue::Int(b)) => {
                    checked(a.checked_add(b)).map(StackValue::Int)
                }
                (StackValue::Duration(a), StackValue::Duration(b)) => {
                    checked(a.checked_add(b)).map(StackValue::Duration)
                }
                (StackValue::Double(a), StackValue::Double(b)) => finite(a + b),
                (a, b) => {
                    self.spend(price::copy(self.length(a) + self.length(b)))?;
                    let from = self.scratch.text.len() as u32;
                    self.copy_to_scratch(a)?;
                    self.copy_to_scratch(b)?;
                    Ok(StackValue::ScratchText(
                        from,
                        self.scratch.text.len() as u32,
                    ))
                }
            },
            Binary::Subtract => match (a, b) {
                (StackValue::Int(a), StackValue::Int(b)) => {
                    checked(a.checked_sub(b)).map(StackValue::Int)
                }
                (StackValue::Duration(a), StackValue::Duration(b)) => {
                    checked(a.checked_sub(b)).map(StackValue::Duration)
                }
                (StackValue::Double(a), StackValue::Double(b)) => finite(a - b),
                _ => Err(Fault::Input),
            },
            Binary::Multiply => match (a, b) {
                (StackValue::Int(a), StackValue::Int(b)) => {
                    checked(a.checked_mul(b)).map(StackValue::Int)
                }
                (StackValue::Duration(a), StackValue::Int(b))
                | (StackValue::Int(a), StackValue::Duration(b)) => {
                    checked(a.checked_mul(b)).map(StackValue::Duration)
                }
                (StackValue::Double(a), StackValue::Double(b)) => finite(a * b),
                _ => Err(Fault::Input),
            },
            Binary::Divide => match (a, b) {
                (StackValue::Int(_) | StackValue::Duration(_), StackValue::Int(0)) => {
                    Err(Fault::DivisionByZero)
                }
                (StackValue::Double(_), StackValue::Double(0.0)) => Err(Fault::DivisionByZero),
                (StackValue::Int(a), StackValue::Int(b)) => {
                    checked(a.checked_div(b)).map(StackValue::Int)
                }
                (StackValue::Duration(a), StackValue::Int(b)) => {
                    checked(a.checked_div(b)).map(StackValue::Duration)
                }
                (StackValue::Double(a), StackValue::Double(b)) => finite(a / b),
                _ => Err(Fault::Input),
            },
            Binary::Remainder => match (a, b) {
                (StackValue::Int(_), StackValue::Int(0)) => Err(Fault::DivisionByZero),
                (StackValue::Int(a), StackValue::Int(b)) => {
                    checked(a.checked_rem(b)).map(StackValue::Int)
                }
                _ => Err(Fault::Input),
            },
            Binary::In => Err(Fault::Input),
        }
    }

    #[expect(
        clippy::too_many_lines,
        reason = "rules with `contains` evaluate a tenth slower if this function is split"
    )]
    pub(super) fn call(
        &mut self,
        func: Func,
        a: StackValue<'a>,
        b: StackValue<'a>,
    ) -> Result<StackValue<'a>, Fault> {
        let (length_a, length_b) = (self.length(a), self.length(b));
        match func {
            Func::Size => Ok(StackValue::Int(match a {
                StackValue::MapField(id) => self.input.size(id).ok_or(Fault::Input)? as i64,
                StackValue::MapConst(map) => map.len() as i64,
                // CEL counts code points. Here the size is in bytes: the limits of requests are in
                // bytes as well, and counting code points would examine each byte.
                StackValue::Text(_) | StackValue::ScratchText(..) => length_a as i64,
                list => self.items(list)? as i64,
            })),
            Func::StartsWith => {
                self.spend(price::compare(length_a, length_b))?;
                Ok(StackValue::Bool(self.text(a)?.starts_with(self.text(b)?)))
            }
            Func::EndsWith => {
                self.spend(price::compare(length_a, length_b))?;
                Ok(StackValue::Bool(self.text(a)?.ends_with(self.text(b)?)))
            }
            Func::Contains => {
                self.spend(price::contains(length_a, length_b))?;
                Ok(StackValue::Bool(self.text(a)?.contains(self.text(b)?)))
            }
            Func::LowerAscii => {
                self.spend(price::copy(length_a))?;
                if !self.text(a)?.bytes().any(|b| b.is_ascii_uppercase()) {
                    return Ok(a);
                }
                let from = self.scratch.text.len();
                self.copy_to_scratch(a)?;
                if let Some(copy) = self.scratch.text.get_mut(from..) {
                    copy.make_ascii_lowercase();
                }
                Ok(StackValue::ScratchText(
                    from as u32,
                    self.scratch.text.len() as u32,
                ))
            }
            Func::ToInt => {
                self.spend(price::PARSE)?;
                Ok(match a {
                    // Beyond 2^53 a double does not represent every integer, so it is not
                    // converted.
                    StackValue::Double(v) if v.abs() <= 9_007_199_254_740_992.0 => {
                        StackValue::Int(v.trunc() as i64)
                    }
                    StackValue::Double(_) => StackValue::Absent,
                    a => {
                        let text = self.text(a)?;
                        let text = Some(text).filter(|t| t.len() <= MAX_PARSED_TEXT);
                        text.and_then(|t| t.parse().ok())
                            .map_or(StackValue::Absent, StackValue::Int)
                    }
                })
            }
            Func::ToDouble => {
                self.spend(price::PARSE)?;
                Ok(match a {
                    StackValue::Int(v) => StackValue::Double(v as f64),
                    a => {
                        let text = self.text(a)?;
                        let text = Some(text).filter(|t| t.len() <= MAX_PARSED_TEXT);
                        let value = text
                            .and_then(|t| t.parse::<f64>().ok())
                            .filter(|v| v.is_finite());
                        value.map_or(StackValue::Absent, StackValue::Double)
                    }
                })
            }
            Func::ToIp => {
                self.spend(price::PARSE)?;
                let text = Some(self.text(a)?).filter(|t| t.len() <= MAX_PARSED_TEXT);
                Ok(text
                    .and_then(|t| t.parse().ok())
                    .map_or(StackValue::Absent, StackValue::Ip))
            }
            Func::ToText => {
                self.spend(price::FORMAT)?;
                // Writing to a `String` does not fail.
                Ok(self.write_text(|text| {
                    let _ = match a {
                        StackValue::Bool(v) => write!(text, "{v}"),
                        StackValue::Int(v) => write!(text, "{v}"),
                        StackValue::Double(v) => write!(text, "{v}"),
                        StackValue::Duration(v) => write!(text, "{v}ms"),
                        StackValue::Ip(v) => write!(text, "{v}"),
                        _ => Ok(()),
                    };
                }))
            }
            Func::Milliseconds => match a {
                StackValue::Duration(ms) => Ok(StackValue::Int(ms)),
                _ => Err(Fault::Input),
            },
            Func::Min | Func::Max => {
                let min = func == Func::Min;
                match (a, b) {
                    (StackValue::Int(a), StackValue::Int(b)) => {
                        Ok(StackValue::Int(if min { a.min(b) } else { a.max(b) }))
                    }
                    (StackValue::Duration(a), StackValue::Duration(b)) => {
                        Ok(StackValue::Duration(if min { a.min(b) } else { a.max(b) }))
                    }
                    (StackValue::Double(a), StackValue::Double(b)) => {
                        Ok(StackValue::Double(if min { a.min(b) } else { a.max(b) }))
                    }
                    _ => Err(Fault::Input),
                }
            }
            Func::Minus => match a {
                StackValue::Int(v) => v.checked_neg().map(StackValue::Int).ok_or(Fault::Overflow),
                StackValue::Duration(v) => v
                    .checked_neg()
                    .map(StackValue::Duration)
                    .ok_or(Fault::Overflow),
                StackValue::Double(v) => Ok(StackValue::Double(-v)),
                _ => Err(Fault::Input),
            },
            // `Hash` and `Split` have instructions of their own.
            Func::Hash | Func::Split => Err(Fault::Input),
        }
    }

    /// Splits a text into parts; the last part holds the rest. The text is copied to the scratch,
    /// so that the parts outlive the original.
    pub(super) fn split(
        &mut self,
        value: StackValue<'a>,
        separator: u16,
        max: usize,
    ) -> Result<StackValue<'a>, Fault> {
        let Const::Text(separator) = self.constant(separator)? else {
            return Err(Fault::Input);
        };
        self.spend(price::split(self.length(value), 0))?;
        let start = self.scratch.text.len();
        self.copy_to_scratch(value)?;
        let first = self.scratch.parts.len() as u32;
        let mut from = start;
        for count in 1..=max {
            let rest = self.scratch.text.get(from..).ok_or(Fault::Input)?;
            let found = if count < max {
                rest.find(&**separator)
            } else {
                None
            };
            let to = found.map_or(self.scratch.text.len(), |at| from + at);
            self.spend(2)?;
            self.scratch.parts.push((from as u32, to as u32));
            if found.is_none() {
                break;
            }
            from = to + separator.len();
        }
        Ok(StackValue::ScratchList(
            first,
            self.scratch.parts.len() as u32,
        ))
    }
}
