"""Hooks that behave runs before and after each feature."""


def before_feature(context, feature):
    """Create the state that the scenarios of a feature share."""
    context.feature_state = {}


def after_feature(context, feature):
    """End the processes that the scenarios of the feature share."""
    processes = context.feature_state.get('processes')
    if processes is not None:
        processes.close()
