"""Names that the platform gives."""

from typing import Annotated

from pydantic_core.core_schema import str_schema

from cassiaturn._core_models import Checked

Label = Annotated[
    str, Checked(schema=str_schema(strict=True, min_length=1, max_length=253))
]
"""A name that the platform gives, such as that of a rack."""
