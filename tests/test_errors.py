import testtools

from dotterelplank import errors


class ErrorTreeTests(testtools.TestCase):
    def test_every_error_shares_the_public_base(self):
        classes = [
            value
            for value in vars(errors).values()
            if isinstance(value, type) and issubclass(value, Exception)
        ]
        for cls in classes:
            self.assertTrue(issubclass(cls, errors.DotterelplankError), cls)

    def test_configuration_error_names_every_fault(self):
        faults = [
            errors.InputError("teams[0].share", "-1", "a number above 0"),
            errors.InputError("groups", "nothing", "at least one group"),
        ]
        text = str(errors.ConfigurationError(faults))
        self.assertIn("teams[0].share: met -1", text)
        self.assertIn("groups: met nothing", text)
