"""Policy of the operators: rules given as expressions over documented variables, validated before the start.

A policy file consists of lines `name = expression`; `#` starts a comment. Expressions are parsed with the standard
`ast` module in expression mode, checked against an allowlist, and compiled once.
"""

from __future__ import annotations

import ast
import math
from collections.abc import Callable, Mapping
from types import CodeType
from typing import Literal, NamedTuple

from tealhook.errors import TealhookError

MAX_FILE_CHARS = 16 * 1024
MAX_SYNTAX_NODES = 200
MAX_EXPONENT = 8

VARIABLES = {
    "report_s": "seconds between two heartbeats of a worker",
    "lease_s": "seconds for which a worker keeps its tasks running without an answered heartbeat",
    "cancel_s": "seconds within which the tasks of a cancelled job must have stopped",
    "begin_s": "seconds within which every job must start, whatever else is waiting",
    "boot_s": "seconds that a new machine usually takes to boot, the minimum over the machine types on offer",
    "guaranteed": "CPUs guaranteed to all teams together; 0 without an objective for starts within the guarantees",
    "limit": "CPUs that all teams together may use; 0: no limit",
    "used": "CPUs used by tasks now",
    "demand": "CPUs used by tasks, plus those needed to finish the waiting tasks in time",
    "urgent": "CPUs used by tasks above standard urgency, smoothed over a boot time",
    "peak": "maximum of the CPUs used within the last boot time",
    "mean": "CPUs used by tasks, smoothed over a boot time",
    "machine": "CPUs of the largest machine type on offer",
}
FUNCTIONS: dict[str, Callable[..., float]] = {
    "min": min,
    "max": max,
    "abs": abs,
    "floor": math.floor,
    "ceil": math.ceil,
    "sqrt": math.sqrt,
}
# Rule name: (description, default expression, minimum, maximum).
RULES: dict[str, tuple[str, str, float, float]] = {
    "ready_cpus": (
        "CPUs that the fleet keeps available, used or not",
        "max(limit if guaranteed > 0 else 0, 0.6 * mean + 0.6 * urgent)",
        0.0,
        1e9,
    ),
    "idle_return_s": (
        "seconds for which CPUs beyond ready_cpus must be spare before their machines are returned",
        "boot_s / 3",
        0.0,
        1e6,
    ),
    "spot_share": ("maximum share of the fleet's CPUs on spot machines", "1", 0.0, 1.0),
    "hold_age_s": (
        "seconds after which capacity is held for a waiting task in its best partition, and unstarted jobs go first",
        "begin_s / 3",
        0.0,
        1e6,
    ),
    "fence_s": (
        "seconds of silence after which a machine is released, so that its tasks are certain to have stopped",
        "lease_s",
        0.0,
        1e6,
    ),
    "feedback": ("weight of an actual finish time in the feedback factor: alpha in the paper", "0.8", 0.0, 1.0),
}
DEFAULT_POLICY = "".join(f"# {text}\n{name} = {default}\n\n" for name, (text, default, _, _) in RULES.items())

_BINARY_OPERATORS = (ast.Add, ast.Sub, ast.Mult, ast.Div, ast.FloorDiv, ast.Mod, ast.Pow)
_COMPARISON_OPERATORS = (ast.Lt, ast.LtE, ast.Gt, ast.GtE, ast.Eq, ast.NotEq)


class Position(NamedTuple):
    """A position in a policy file, or the file as a whole if `line` is None; lines and columns count from 1."""

    path: str
    line: int | None = None
    column: int | None = None

    def __str__(self) -> str:
        """Return `path:line:column`, as compilers print it, or the path alone."""
        return f"{self.path}:{self.line}:{self.column}" if self.line is not None else self.path

    def shifted_right(self, columns: int) -> Position:
        """Return the position `columns` further right on the same line."""
        return self._replace(column=(self.column or 0) + columns)


class PolicyError(TealhookError, ValueError):
    """An unreadable or invalid policy; the message is one line with the position, the rule and the problem."""

    def __init__(self, position: Position, problem: str, rule: str | None = None) -> None:
        """Initialize with the name of the invalid `rule`, or None if the error concerns no known rule."""
        super().__init__(f"{position}: {rule}: {problem}" if rule is not None else f"{position}: {problem}")
        self.position = position
        self.problem = problem
        self.rule = rule


ExpressionType = Literal["number", "truth"]


class _ExpressionChecker:
    """Type checker of expressions that rejects all syntax that is not allowed."""

    def __init__(self, make_error: Callable[[ast.AST, str], PolicyError]) -> None:
        self._make_error = make_error

    def check_number(self, node: ast.AST) -> None:
        """Check an expression that must evaluate to a number."""
        if self.infer_type(node) != "number":
            raise self._make_error(node, "expected a number, got a comparison")

    def check_truth(self, node: ast.AST) -> None:
        """Check an expression that must evaluate to a truth value."""
        if self.infer_type(node) != "truth":
            raise self._make_error(node, "expected a comparison, got a number")

    def infer_type(self, node: ast.AST) -> ExpressionType:
        """Check an expression of either type and return its type."""
        expression_type = self._check_if_number(node) or self._check_if_truth(node)
        if expression_type is None:
            raise self._make_error(node, "not allowed in a policy; expected numbers, variables, operators, functions")
        return expression_type

    def _check_if_number(self, node: ast.AST) -> ExpressionType | None:
        """Check an expression with its operands if it evaluates to a number; return None if it does not."""
        match node:
            case ast.Constant(value=int() | float() as value) if not isinstance(value, bool) and math.isfinite(value):
                pass
            case ast.Name(id=name):
                if name not in VARIABLES:
                    raise self._make_error(node, f"unknown name '{name}'; known: {', '.join(VARIABLES)}")
            case ast.BinOp(op=op) if isinstance(op, _BINARY_OPERATORS):
                self._check_binary_operation(node)
            case ast.UnaryOp(op=ast.USub() | ast.UAdd(), operand=operand):
                self.check_number(operand)
            case ast.IfExp(test=test, body=body, orelse=orelse):
                self.check_truth(test)
                self.check_number(body)
                self.check_number(orelse)
            case ast.Call(func=ast.Name(id=name)):
                self._check_call(node, name)
            case _:
                return None
        return "number"

    def _check_if_truth(self, node: ast.AST) -> ExpressionType | None:
        """Check an expression with its operands if it evaluates to a truth value; return None if it does not."""
        match node:
            case ast.UnaryOp(op=ast.Not(), operand=operand):
                self.check_truth(operand)
            case ast.BoolOp(values=values):
                for value in values:
                    self.check_truth(value)
            case ast.Compare(left=left, ops=ops, comparators=comparators) if all(
                isinstance(op, _COMPARISON_OPERATORS) for op in ops
            ):
                self.check_number(left)
                for value in comparators:
                    self.check_number(value)
            case _:
                return None
        return "truth"

    def _check_binary_operation(self, node: ast.BinOp) -> None:
        """Check a binary operation.

        The exponent of a power must be a small constant, so that no expression takes long or yields a huge number.
        """
        self.check_number(node.left)
        self.check_number(node.right)
        if isinstance(node.op, ast.Pow):
            exponent = node.right.value if isinstance(node.right, ast.Constant) else None
            if not isinstance(exponent, int | float) or not 0 <= exponent <= MAX_EXPONENT:
                raise self._make_error(node.right, f"expected a constant power between 0 and {MAX_EXPONENT}")

    def _check_call(self, node: ast.Call, name: str) -> None:
        """Check a call of a known function with positional arguments only."""
        if name not in FUNCTIONS or node.keywords:
            raise self._make_error(node, f"unknown function '{name}'; known: {', '.join(FUNCTIONS)}")
        min_arguments = 2 if name in ("min", "max") else 1
        if len(node.args) < min_arguments or (min_arguments == 1 and len(node.args) > 1):
            raise self._make_error(
                node,
                f"expected {'1 argument' if min_arguments == 1 else 'at least 2 arguments'} for '{name}', "
                f"got {len(node.args)}",
            )
        for value in node.args:
            self.check_number(value)


class Policy:
    """Validated and compiled expressions of all rules."""

    def __init__(self, compiled_rules: Mapping[str, CodeType]) -> None:
        """Initialize with the compiled expression of every rule in `RULES`."""
        self._compiled_rules = dict(compiled_rules)

    def evaluate(self, rule: str, variables: Mapping[str, float]) -> float:
        """Return the value of a rule, limited to the rule's range.

        An evaluation that fails, such as a division by zero, gives the minimum of the range. Variables that are not
        given are 0.
        """
        _, _, minimum, maximum = RULES[rule]
        scope = dict.fromkeys(VARIABLES, 0.0) | dict(variables)
        try:
            # The code was compiled from a checked tree: it has no attribute accesses, and calls only FUNCTIONS.
            result = float(eval(self._compiled_rules[rule], {"__builtins__": {}, **FUNCTIONS}, scope))  # noqa: S307 - as above
        except (ArithmeticError, ValueError, TypeError):
            return minimum
        if not math.isfinite(result):
            return minimum
        return min(maximum, max(minimum, result))


def _compile(start: Position, rule: str, text: str) -> CodeType:
    """Check and compile the expression of a rule; `start` is its position, from which errors are located."""

    def make_error(node: ast.AST, problem: str) -> PolicyError:
        return PolicyError(start.shifted_right(getattr(node, "col_offset", 0)), problem, rule)

    try:
        tree = ast.parse(text, mode="eval")
    except (SyntaxError, ValueError, RecursionError, MemoryError) as exc:
        offset = (getattr(exc, "offset", None) or 1) - 1
        raise PolicyError(
            start.shifted_right(offset), "syntax error; expected an expression such as '0.6 * mean'", rule
        ) from None
    if sum(1 for _ in ast.walk(tree)) > MAX_SYNTAX_NODES:
        raise make_error(tree.body, f"too long; expected at most {MAX_SYNTAX_NODES} syntax nodes")
    _ExpressionChecker(make_error).check_number(tree.body)
    code: CodeType = compile(tree, start.path, "eval")
    return code


def parse_policy(path: str, text: str) -> Policy:
    """Parse and validate the text of a policy; rules that it does not set keep their defaults."""
    if len(text) > MAX_FILE_CHARS:
        raise PolicyError(Position(path, 1, 1), f"expected at most {MAX_FILE_CHARS} characters")
    compiled_rules = {name: _compile(Position("default", 1, 1), name, rule[1]) for name, rule in RULES.items()}
    seen_rules: set[str] = set()
    for line_number, line in enumerate(text.splitlines(), 1):
        line = line.split("#", 1)[0]
        if not line.strip():
            continue
        name, equals, expression = line.partition("=")
        position = Position(path, line_number, len(name) - len(name.lstrip()) + 1)
        name = name.strip()
        if not equals:
            raise PolicyError(position, "expected 'name = expression'")
        if name not in RULES:
            raise PolicyError(position, f"unknown rule '{name}'; known: {', '.join(RULES)}")
        if name in seen_rules:
            raise PolicyError(position, f"rule '{name}' is set twice")
        seen_rules.add(name)
        offset = line.index("=") + 1 + len(expression) - len(expression.lstrip())
        start = Position(path, line_number, offset + 1)
        compiled_rules[name] = _compile(start, name, expression.strip())
        _check_constant_expression(start, name, compiled_rules[name], expression)
    return Policy(compiled_rules)


def _check_constant_expression(start: Position, rule: str, code: CodeType, text: str) -> None:
    """Check the value of an expression without variables against the range of its rule."""
    if any(isinstance(node, ast.Name) and node.id in VARIABLES for node in ast.walk(ast.parse(text.strip()))):
        return
    _, _, minimum, maximum = RULES[rule]
    try:
        value = float(eval(code, {"__builtins__": {}, **FUNCTIONS}, {}))  # noqa: S307 - compiled from a checked tree
    except ArithmeticError as exc:
        raise PolicyError(start, f"can't be evaluated: {exc}", rule) from None
    if not minimum <= value <= maximum:
        raise PolicyError(start, f"expected {minimum:g} to {maximum:g}, got {value:g}", rule)


def load_policy(path: str | None) -> Policy:
    """Read and validate a policy file; return the default policy if `path` is None.

    Raise PolicyError if the file is unreadable or invalid.
    """
    if path is None:
        return parse_policy("default", "")
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read(MAX_FILE_CHARS + 1)
    except (OSError, UnicodeDecodeError) as exc:
        raise PolicyError(Position(path), f"can't be read: {getattr(exc, 'strerror', None) or exc}") from None
    return parse_policy(path, text)
