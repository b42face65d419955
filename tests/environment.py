"""Hooks that behave calls around features."""


def before_feature(context, feature):
    """Give each feature a place for processes that its scenarios share."""
    context.feature_state = {}


def after_feature(context, feature):
    """End the processes of the feature."""
    processes = context.feature_state.get('processes')
    if processes is not None:
        processes.close()
