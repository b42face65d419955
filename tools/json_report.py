"""A JSON report of behave that keeps the traceback of every failed step."""

from behave.formatter.json import JSONFormatter
from behave.model import Step


class TracebackJSONFormatter(JSONFormatter):
    """The JSON formatter of behave with tracebacks of unexpected errors.

    behave itself writes the message of a failed assertion only.
    """

    def result(self, step: Step) -> None:
        """Add the outcome of a step to the report.

        :param step: step that has ended.
        """
        index = self._step_index
        super().result(step)
        outcome = self.current_feature_element['steps'][index]['result']
        if step.error_message:
            outcome['error_message'] = step.error_message
