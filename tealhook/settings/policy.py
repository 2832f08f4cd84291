"""The policy: named expressions over documented variables, checked before anything starts.

A policy file holds lines `name = expression`; `#` begins a comment. Expressions are parsed with the
standard `ast` module in expression mode, checked against a whitelist, and compiled once.
"""

from __future__ import annotations

import ast
import math
from collections.abc import Callable, Mapping
from types import CodeType
from typing import Literal, NamedTuple

from tealhook.errors import TealhookError

MAX_FILE = 16 * 1024
MAX_NODES = 200
MAX_POWER = 8

VARIABLES = {
    "report_s": "seconds between two reports of a worker",
    "lease_s": "seconds a worker keeps its tasks without an answered report",
    "cancel_s": "seconds within which a cancelled job must be off its machines",
    "begin_s": "seconds within which every job must begin, whatever else waits",
    "boot_s": "seconds a new machine usually needs, the least over the types on offer",
    "guaranteed": "CPUs guaranteed to all teams together, if an objective is set for starts within them",
    "limit": "CPUs all teams together may use; 0: no limit",
    "used": "CPUs taken by tasks now",
    "demand": "CPUs taken by tasks, and those that would work off the waiting ones in time",
    "urgent": "CPUs taken by tasks above standard urgency, smoothed over a boot",
    "peak": "most CPUs taken within the last boot",
    "mean": "CPUs taken, smoothed over a boot",
    "machine": "CPUs of the largest type on offer",
}
FUNCTIONS: dict[str, Callable[..., float]] = {
    "min": min,
    "max": max,
    "abs": abs,
    "floor": math.floor,
    "ceil": math.ceil,
    "sqrt": math.sqrt,
}
# name: (what it sets, default, lowest, highest)
RULES: dict[str, tuple[str, str, float, float]] = {
    "ready_cpus": (
        "CPUs that the fleet keeps up, taken or not",
        "max(limit if guaranteed > 0 else 0, 0.6 * mean + 0.6 * urgent)",
        0.0,
        1e9,
    ),
    "idle_return_s": (
        "seconds for which CPUs beyond that must be spare before their machines are returned",
        "boot_s / 3",
        0.0,
        1e6,
    ),
    "spot_share": ("largest share of the fleet's CPUs that may be spot machines", "1", 0.0, 1.0),
    "hold_age_s": (
        "seconds of waiting after which a task holds room on its best part, and a job not begun goes first",
        "begin_s / 3",
        0.0,
        1e6,
    ),
    "fence_s": ("seconds of silence after which a machine is released to be certain", "lease_s", 0.0, 1e6),
    "feedback": ("the paper's alpha: weight of an actual finish in the feedback factor", "0.8", 0.0, 1.0),
}
DEFAULT_POLICY = "".join(f"# {text}\n{name} = {default}\n\n" for name, (text, default, _, _) in RULES.items())

_BINARY = (ast.Add, ast.Sub, ast.Mult, ast.Div, ast.FloorDiv, ast.Mod, ast.Pow)
_COMPARE = (ast.Lt, ast.LtE, ast.Gt, ast.GtE, ast.Eq, ast.NotEq)


class Position(NamedTuple):
    """A place in a policy file, or the file as a whole; lines and columns count from 1."""

    path: str
    line: int | None = None
    column: int | None = None

    def __str__(self) -> str:
        """As compilers print it."""
        return f"{self.path}:{self.line}:{self.column}" if self.line is not None else self.path

    def shifted(self, columns: int) -> Position:
        """A place further right on the same line."""
        return self._replace(column=(self.column or 0) + columns)


class PolicyError(TealhookError, ValueError):
    """A policy that can't be used; the text is one line: position, rule if known, and what is wrong."""

    def __init__(self, position: Position, problem: str, rule: str | None = None) -> None:
        """`rule` is the name of the rule that is wrong, if there is one."""
        super().__init__(f"{position}: {rule}: {problem}" if rule is not None else f"{position}: {problem}")
        self.position = position
        self.problem = problem
        self.rule = rule


Kind = Literal["number", "truth"]


class _Checker:
    """Walks an expression, finds its type, and refuses whatever is not on the whitelist."""

    def __init__(self, fail: Callable[[ast.AST, str], PolicyError]) -> None:
        self._fail = fail

    def number(self, node: ast.AST) -> None:
        """Check an expression that must give a number."""
        if self.kind(node) != "number":
            raise self._fail(node, "expected a number, got a comparison")

    def truth(self, node: ast.AST) -> None:
        """Check an expression that must give a truth value."""
        if self.kind(node) != "truth":
            raise self._fail(node, "expected a comparison, got a number")

    def kind(self, node: ast.AST) -> Kind:
        """Check an expression of either type."""
        kind = self._number_kind(node) or self._truth_kind(node)
        if kind is None:
            raise self._fail(node, "not allowed in a policy expression")
        return kind

    def _number_kind(self, node: ast.AST) -> Kind | None:
        """Check what gives a number; None: it is no such expression."""
        match node:
            case ast.Constant(value=int() | float() as value) if not isinstance(value, bool) and math.isfinite(value):
                pass
            case ast.Name(id=name):
                if name not in VARIABLES:
                    raise self._fail(node, f"unknown name '{name}'; known: {', '.join(VARIABLES)}")
            case ast.BinOp(op=op) if isinstance(op, _BINARY):
                self._operation(node)
            case ast.UnaryOp(op=ast.USub() | ast.UAdd(), operand=operand):
                self.number(operand)
            case ast.IfExp(test=test, body=body, orelse=orelse):
                self.truth(test)
                self.number(body)
                self.number(orelse)
            case ast.Call(func=ast.Name(id=name)):
                self._call(node, name)
            case _:
                return None
        return "number"

    def _truth_kind(self, node: ast.AST) -> Kind | None:
        """Check what gives a truth value; None: it is no such expression."""
        match node:
            case ast.UnaryOp(op=ast.Not(), operand=operand):
                self.truth(operand)
            case ast.BoolOp(values=values):
                for value in values:
                    self.truth(value)
            case ast.Compare(left=left, ops=ops, comparators=comparators) if all(
                isinstance(op, _COMPARE) for op in ops
            ):
                self.number(left)
                for value in comparators:
                    self.number(value)
            case _:
                return None
        return "truth"

    def _operation(self, node: ast.BinOp) -> None:
        """Two numbers; a power must be a small constant, so that no expression takes long or grows large."""
        self.number(node.left)
        self.number(node.right)
        if isinstance(node.op, ast.Pow):
            power = node.right.value if isinstance(node.right, ast.Constant) else None
            if not isinstance(power, int | float) or not 0 <= power <= MAX_POWER:
                raise self._fail(node.right, f"expected a constant power between 0 and {MAX_POWER}")

    def _call(self, node: ast.Call, name: str) -> None:
        """A known function with as many numbers as it takes, and no keywords."""
        if name not in FUNCTIONS or node.keywords:
            raise self._fail(node, f"unknown function '{name}'; known: {', '.join(FUNCTIONS)}")
        few = 2 if name in ("min", "max") else 1
        if len(node.args) < few or (few == 1 and len(node.args) > 1):
            raise self._fail(node, f"wrong number of arguments for '{name}'")
        for value in node.args:
            self.number(value)


class Policy:
    """Checked expressions; `evaluate` evaluates one and keeps it within its range."""

    def __init__(self, codes: Mapping[str, CodeType]) -> None:
        """`codes`: the compiled expression of every rule in `RULES`."""
        self._codes = dict(codes)

    def evaluate(self, name: str, variables: Mapping[str, float]) -> float:
        """The rule's value; a failing evaluation (division by zero) gives its default's value or lowest."""
        _, _, lowest, highest = RULES[name]
        scope = dict.fromkeys(VARIABLES, 0.0) | dict(variables)
        try:
            # The code was compiled from a checked tree: no attributes, no calls but FUNCTIONS.
            result = float(eval(self._codes[name], {"__builtins__": {}, **FUNCTIONS}, scope))  # noqa: S307 - as above
        except (ArithmeticError, ValueError, TypeError):
            return lowest
        if not math.isfinite(result):
            return lowest
        return min(highest, max(lowest, result))


def _compile(start: Position, rule: str, text: str) -> CodeType:
    """Compile the expression of a rule that begins at `start`."""

    def fail(node: ast.AST, problem: str) -> PolicyError:
        return PolicyError(start.shifted(getattr(node, "col_offset", 0)), problem, rule)

    try:
        tree = ast.parse(text, mode="eval")
    except (SyntaxError, ValueError, RecursionError, MemoryError) as exc:
        offset = (getattr(exc, "offset", None) or 1) - 1
        raise PolicyError(start.shifted(offset), "not an expression", rule) from None
    if sum(1 for _ in ast.walk(tree)) > MAX_NODES:
        raise fail(tree.body, "too long")
    _Checker(fail).number(tree.body)
    code: CodeType = compile(tree, start.path, "eval")
    return code


def parse_policy(path: str, text: str) -> Policy:
    """Check a policy's text; rules that it does not name keep their defaults."""
    if len(text) > MAX_FILE:
        raise PolicyError(Position(path, 1, 1), f"expected at most {MAX_FILE} characters")
    codes = {name: _compile(Position("default", 1, 1), name, rule[1]) for name, rule in RULES.items()}
    seen: set[str] = set()
    for number, line in enumerate(text.splitlines(), 1):
        line = line.split("#", 1)[0]
        if not line.strip():
            continue
        name, equals, expression = line.partition("=")
        position = Position(path, number, len(name) - len(name.lstrip()) + 1)
        name = name.strip()
        if not equals:
            raise PolicyError(position, "expected 'name = expression'")
        if name not in RULES:
            raise PolicyError(position, f"unknown rule '{name}'; known: {', '.join(RULES)}")
        if name in seen:
            raise PolicyError(position, f"rule '{name}' is set twice")
        seen.add(name)
        offset = line.index("=") + 1 + len(expression) - len(expression.lstrip())
        start = Position(path, number, offset + 1)
        codes[name] = _compile(start, name, expression.strip())
        _check_constant(start, name, codes[name], expression)
    return Policy(codes)


def _check_constant(start: Position, rule: str, code: CodeType, text: str) -> None:
    """A rule without variables is checked against its range at once."""
    if any(isinstance(node, ast.Name) and node.id in VARIABLES for node in ast.walk(ast.parse(text.strip()))):
        return
    _, _, lowest, highest = RULES[rule]
    try:
        value = float(eval(code, {"__builtins__": {}, **FUNCTIONS}, {}))  # noqa: S307 - checked above
    except ArithmeticError as exc:
        raise PolicyError(start, str(exc), rule) from None
    if not lowest <= value <= highest:
        raise PolicyError(start, f"expected {lowest:g} to {highest:g}, got {value:g}", rule)


def load_policy(path: str | None) -> Policy:
    """The policy of a file, or the defaults; raises PolicyError with a one-line message."""
    if path is None:
        return parse_policy("default", "")
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read(MAX_FILE + 1)
    except (OSError, UnicodeDecodeError) as exc:
        raise PolicyError(Position(path), f"can't be read: {getattr(exc, 'strerror', None) or exc}") from None
    return parse_policy(path, text)
