"""Platform adapter: translates the platform's settings, objects and headers.

Names of the platform's protocol appear only in this package.
"""
