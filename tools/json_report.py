"""A JSON formatter for behave that keeps the traceback of failed steps."""

from behave.formatter.json import JSONFormatter
from behave.model import Step


class TracebackJSONFormatter(JSONFormatter):
    """Adds the traceback of unexpected errors to behave's JSON report.

    The formatter of behave writes only the message of a failed assertion.
    """

    def result(self, step: Step) -> None:
        """Add the result of a step to the report.

        :param step: step that has run.
        """
        index = self._step_index
        super().result(step)
        step_result = self.current_feature_element['steps'][index]['result']
        if step.error_message:
            step_result['error_message'] = step.error_message
